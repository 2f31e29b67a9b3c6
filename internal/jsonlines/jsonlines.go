// Package jsonlines writes lists of values as JSON, one a line.
package jsonlines

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
)

// Write writes a list.
func Write[T any](w io.Writer, list []T) error {
	enc := json.NewEncoder(w)
	for _, v := range list {
		if err := enc.Encode(v); err != nil {
			return err
		}
	}
	return nil
}

// WriteFile writes a list to a file, all of it or nothing.
func WriteFile[T any](path string, list []T) error {
	var b bytes.Buffer
	if err := Write(&b, list); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o600)
}
