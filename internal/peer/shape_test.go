package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"slices"
	"testing"
)

// The types by which gob describes those of a message, by gob's names.
type (
	// CommonType is what all descriptions have.
	CommonType struct {
		Name string
		Id   int32 //nolint:revive // gob's name
	}
	elementsType struct {
		CommonType CommonType
		Elem       int32
	}
	fieldType struct {
		Name string
		Id   int32 //nolint:revive // gob's name
	}
	structType struct {
		CommonType CommonType
		Field      []fieldType
	}
	mapType struct {
		CommonType CommonType
		Key, Elem  int32
	}
	arrayType struct {
		CommonType CommonType
		Elem, Len  int32
	}
	encoderType struct {
		CommonType CommonType
	}
	wireType struct {
		ArrayT           *arrayType
		SliceT           *elementsType
		StructT          *structType
		MapT             *mapType
		GobEncoderT      *encoderType
		BinaryMarshalerT *encoderType
		TextMarshalerT   *encoderType
	}
)

// wireTypeID is the number under which gob knows its own wireType.
const wireTypeID = 16

// basicTypes are the types that gob does not describe, by their numbers.
var basicTypes = map[int32]reflect.Type{
	1: reflect.TypeFor[bool](), 2: reflect.TypeFor[int64](), 3: reflect.TypeFor[uint64](), 4: reflect.TypeFor[float64](),
	5: reflect.TypeFor[[]byte](), 6: reflect.TypeFor[string](),
}

// unusedFields are fields of earlier programs that they never set.
var unusedFields = []string{"Ops"}

// shapeOf is a type like that of the program that wrote a message, made of the
// description that the message begins with. Structs in structs are pointers, so that
// one that was not sent can be told from an empty one.
func shapeOf(t *testing.T, raw []byte) reflect.Type {
	t.Helper()
	descriptions := map[int32]wireType{}
	for len(raw) > 0 {
		length, rest := gobUint(raw)
		body := rest[:length]
		raw = rest[length:]
		id, definition := gobInt(body)
		if id >= 0 {
			return shape(t, descriptions, id)
		}
		message := append(gobEncodedUint(uint64(len(definition)+1)), 2*wireTypeID)
		var description wireType
		if err := gob.NewDecoder(bytes.NewReader(append(message, definition...))).Decode(&description); err != nil {
			t.Fatal(err)
		}
		descriptions[-id] = description
	}
	t.Fatal("a message without a value")
	return nil
}

func shape(t *testing.T, descriptions map[int32]wireType, id int32) reflect.Type {
	t.Helper()
	if basic, ok := basicTypes[id]; ok {
		return basic
	}
	switch description := descriptions[id]; {
	case description.SliceT != nil:
		return reflect.SliceOf(shape(t, descriptions, description.SliceT.Elem))
	case description.MapT != nil:
		return reflect.MapOf(shape(t, descriptions, description.MapT.Key), shape(t, descriptions, description.MapT.Elem))
	case description.StructT != nil:
		var fields []reflect.StructField
		for _, field := range description.StructT.Field {
			if slices.Contains(unusedFields, field.Name) {
				continue
			}
			fieldShape := shape(t, descriptions, field.Id)
			if fieldShape.Kind() == reflect.Struct {
				fieldShape = reflect.PointerTo(fieldShape)
			}
			fields = append(fields, reflect.StructField{Name: field.Name, Type: fieldShape})
		}
		return reflect.StructOf(fields)
	}
	t.Fatalf("type %d is not described", id)
	return nil
}

// gobUint reads a number: a small one is its own byte, else there is first the
// negated count of its bytes.
func gobUint(b []byte) (uint64, []byte) {
	if b[0] < 0x80 {
		return uint64(b[0]), b[1:]
	}
	count := -int(int8(b[0]))
	n := uint64(0)
	for _, digit := range b[1 : 1+count] {
		n = n<<8 | uint64(digit)
	}
	return n, b[1+count:]
}

func gobEncodedUint(n uint64) []byte {
	if n < 0x80 {
		return []byte{byte(n)}
	}
	var digits []byte
	for ; n > 0; n >>= 8 {
		digits = append([]byte{byte(n)}, digits...)
	}
	return append([]byte{byte(-len(digits))}, digits...)
}

// gobInt reads a signed number, whose lowest bit says that the others are inverted.
func gobInt(b []byte) (int32, []byte) {
	n, rest := gobUint(b)
	if n&1 != 0 {
		return int32(^(n >> 1)), rest
	}
	return int32(n >> 1), rest
}

// TestForBase has the last program that sent the core's own types read what this one
// sends: by that program's names and types it is the same as what it sent itself.
func TestForBase(t *testing.T) {
	raws := readRecording(t, baseRecording)
	for name, message := range completeMessages() {
		base := shapeOf(t, raws[name])
		sent := encoded(t, toWire(t, message))
		if now := shapeOf(t, sent); now != base {
			t.Errorf("%s: described as %v, before as %v", name, now, base)
		}
		if got, want := decoded(t, sent, base), decoded(t, raws[name], base); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, before as %+v", name, got, want)
		}
	}
}
