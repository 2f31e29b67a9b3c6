package core

import (
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"
)

// The first byte of a stored set of runs is the encoding of the rest.
const (
	runSetBits    = 'b' // one bit per run
	runSetRoaring = 'r' // serialized roaring bitmap
)

var errUnknownRunSet = errors.New("decode set of runs: unknown encoding")

// encodeRunSet encodes a set of runs in the shorter of the two encodings, so that any set of
// runs of a sweep with 10,000 runs fits into 2 KB.
func encodeRunSet(runs *roaring.Bitmap) string {
	if runs.IsEmpty() {
		return ""
	}
	runs.RunOptimize()
	packed, err := runs.ToBytes()
	if err != nil {
		panic(err) // can't fail: the bitmap is written to memory
	}
	bits := make([]byte, runs.Maximum()/8+1)
	for it := runs.Iterator(); it.HasNext(); {
		i := it.Next()
		bits[i/8] |= 1 << (i % 8)
	}
	if len(bits) < len(packed) {
		return string(runSetBits) + base64.RawStdEncoding.EncodeToString(bits)
	}
	return string(runSetRoaring) + base64.RawStdEncoding.EncodeToString(packed)
}

// decodeRunSet decodes a set that was encoded by encodeRunSet.
func decodeRunSet(text string) (*roaring.Bitmap, error) {
	runs := roaring.New()
	if text == "" {
		return runs, nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(text[1:])
	if err != nil {
		return nil, fmt.Errorf("decode set of runs: %w", err)
	}
	switch text[0] {
	case runSetRoaring:
		if err := runs.UnmarshalBinary(raw); err != nil {
			return nil, fmt.Errorf("decode set of runs: %w", err)
		}
	case runSetBits:
		addBits(runs, raw)
	default:
		return nil, errUnknownRunSet
	}
	return runs, nil
}

// addBits adds the positions of the set bits to a set of runs.
func addBits(runs *roaring.Bitmap, bits []byte) {
	for i, b := range bits {
		for k := range 8 {
			if b>>k&1 == 1 {
				runs.AddInt(i*8 + k)
			}
		}
	}
}
