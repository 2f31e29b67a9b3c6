package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"slices"
	"testing"
)

// The types with which gob describes the types of a message, with gob's names.
type (
	// CommonType is the part that all descriptions have in common.
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

// wireTypeID is gob's type ID of its own wireType.
const wireTypeID = 16

// basicTypes are the types that gob does not describe, by type ID.
var basicTypes = map[int32]reflect.Type{
	1: reflect.TypeFor[bool](), 2: reflect.TypeFor[int64](), 3: reflect.TypeFor[uint64](), 4: reflect.TypeFor[float64](),
	5: reflect.TypeFor[[]byte](), 6: reflect.TypeFor[string](),
}

// unusedFields are fields that earlier versions described but never set.
var unusedFields = []string{"Ops"}

// addedFields are the fields that were added after the base version, which ignores them.
var addedFields = []string{"Ordered"}

// shapeOf rebuilds the type from which a message was encoded, by the type descriptions at
// the start of the message. Structs in structs become pointers, so that a struct that was
// not sent can be distinguished from an empty one.
func shapeOf(t *testing.T, raw []byte) reflect.Type {
	t.Helper()
	descriptions := map[int32]wireType{}
	for len(raw) > 0 {
		length, rest := gobUint(raw)
		body := rest[:length]
		raw = rest[length:]
		id, definition := gobInt(body)
		if id >= 0 {
			return shapeOfID(t, descriptions, id)
		}
		// 2*wireTypeID is the encoding of wireTypeID as a signed number, see gobInt.
		message := append(gobEncodedUint(uint64(len(definition)+1)), 2*wireTypeID)
		var description wireType
		if err := gob.NewDecoder(bytes.NewReader(append(message, definition...))).Decode(&description); err != nil {
			t.Fatal(err)
		}
		descriptions[-id] = description
	}
	t.Fatal("got a message without a value, want one with a value")
	return nil
}

// shapeOfID returns the type with the given gob type ID, built from the descriptions.
func shapeOfID(t *testing.T, descriptions map[int32]wireType, id int32) reflect.Type {
	t.Helper()
	if basic, ok := basicTypes[id]; ok {
		return basic
	}
	switch description := descriptions[id]; {
	case description.SliceT != nil:
		return reflect.SliceOf(shapeOfID(t, descriptions, description.SliceT.Elem))
	case description.MapT != nil:
		return reflect.MapOf(shapeOfID(t, descriptions, description.MapT.Key), shapeOfID(t, descriptions, description.MapT.Elem))
	case description.StructT != nil:
		var fields []reflect.StructField
		for _, field := range description.StructT.Field {
			if slices.Contains(unusedFields, field.Name) || slices.Contains(addedFields, field.Name) {
				continue
			}
			fieldShape := shapeOfID(t, descriptions, field.Id)
			if fieldShape.Kind() == reflect.Struct {
				fieldShape = reflect.PointerTo(fieldShape)
			}
			fields = append(fields, reflect.StructField{Name: field.Name, Type: fieldShape})
		}
		return reflect.StructOf(fields)
	}
	t.Fatalf("description of type %d: got %+v, want one of a slice, map or struct", id, descriptions[id])
	return nil
}

// gobUint decodes an unsigned number and returns the remaining bytes. A number below
// 0x80 is a single byte. The bytes of a larger number follow a byte with their negated
// count.
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

// gobInt decodes a signed number and returns the remaining bytes. The lowest bit reports
// whether the other bits, which are the number, are inverted.
func gobInt(b []byte) (int32, []byte) {
	n, rest := gobUint(b)
	if n&1 != 0 {
		return int32(^(n >> 1)), rest
	}
	return int32(n >> 1), rest
}

// TestBaseVersionDecodesMessages checks that the last version that sent the core's own
// types can decode current messages: decoded with that version's names and types, they
// equal the messages that it sent itself. Fields that were added since are left out.
func TestBaseVersionDecodesMessages(t *testing.T) {
	raws := readRecording(t, baseRecording)
	for name, message := range completeMessages() {
		base := shapeOf(t, raws[name])
		sent := encoded(t, toWire(t, message))
		if now := shapeOf(t, sent); now != base {
			t.Errorf("%s: got type description %v, want %v as in the base version", name, now, base)
		}
		if got, want := decoded(t, sent, base), decoded(t, raws[name], base); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v as sent by the base version", name, got, want)
		}
	}
}
