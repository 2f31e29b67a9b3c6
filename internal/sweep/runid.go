package sweep

import (
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"
)

// Prefix is the prefix of the ids of all runs. The id of another job must not begin with it.
const Prefix = "sweep."

// runHashBytes is the length of the hash in a run's id, in bytes.
const runHashBytes = 12

// Kinds of hashed fields. They make equal bytes of different types hash differently.
const (
	hashedSweep = 's'
	hashedName  = 'n'
	hashedInt   = 'i'
	hashedFloat = 'f'
	hashedText  = 't'
	hashedBool  = 'b'
)

// RunID returns the id of the run of a sweep with a set of values. It does not depend on the
// order in which the parameters are declared.
func RunID(sweep string, names []string, values []Value) string {
	h := blake3.New()
	hashField(h, hashedSweep, []byte(sweep))
	order := make([]int, len(names))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(names[a], names[b]) })
	for _, i := range order {
		hashField(h, hashedName, []byte(names[i]))
		switch value := values[i].(type) {
		case int64:
			hashField(h, hashedInt, strconv.AppendInt(nil, value, 10))
		case float64:
			hashField(h, hashedFloat, binary.BigEndian.AppendUint64(nil, math.Float64bits(value)))
		case string:
			hashField(h, hashedText, []byte(value))
		case bool:
			hashField(h, hashedBool, strconv.AppendBool(nil, value))
		}
	}
	return Prefix + sweep + "." + hex.EncodeToString(h.Sum(nil)[:runHashBytes])
}

// hashField hashes a field with its kind and length, so that different lists of fields never
// give the same sequence of bytes.
func hashField(h hash.Hash, kind byte, content []byte) {
	var header [9]byte
	header[0] = kind
	binary.BigEndian.PutUint64(header[1:], uint64(len(content)))
	h.Write(header[:])
	h.Write(content)
}
