// Package jsonlines writes lists of values as JSON, one a line.
package jsonlines

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
)

// fileMode is that of a file that is written anew.
const fileMode = 0o600

// Write writes a list.
func Write[T any](w io.Writer, list []T) error {
	encoder := json.NewEncoder(w)
	for _, value := range list {
		if err := encoder.Encode(value); err != nil {
			return err
		}
	}
	return nil
}

// WriteFile writes a list to a file. If a value can't be encoded the file stays as it is.
func WriteFile[T any](path string, list []T) error {
	var lines bytes.Buffer
	if err := Write(&lines, list); err != nil {
		return err
	}
	return os.WriteFile(path, lines.Bytes(), fileMode)
}
