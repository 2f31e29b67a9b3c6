// Package jsonlines writes lists of values as JSON lines, one value per line.
package jsonlines

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
)

// fileMode is the mode of newly created files.
const fileMode = 0o600

// Write writes each value of the list as a line of JSON.
func Write[T any](w io.Writer, list []T) error {
	encoder := json.NewEncoder(w)
	for _, value := range list {
		if err := encoder.Encode(value); err != nil {
			return err
		}
	}
	return nil
}

// WriteFile writes the list to a file, replacing its content. If a value cannot be encoded, the
// file stays unchanged.
func WriteFile[T any](path string, list []T) error {
	var lines bytes.Buffer
	if err := Write(&lines, list); err != nil {
		return err
	}
	return os.WriteFile(path, lines.Bytes(), fileMode)
}
