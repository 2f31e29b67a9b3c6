package sweep

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

var errUnknownFileType = errors.New("neither .csv nor .jsonl")

// Resolve replaces the files that parameters name by the values in them. It calls read with
// the names as written in the sweep.
func Resolve(s *sweeppb.Sweep, read func(name string) ([]byte, error)) error {
	for _, p := range s.Parameter {
		if p.File == "" {
			continue
		}
		if err := resolveParameter(p, read); err != nil {
			return fmt.Errorf("parameter %s: file %s: %w", p.Name, p.File, err)
		}
		p.File, p.Column = "", ""
	}
	return nil
}

func resolveParameter(p *sweeppb.Parameter, read func(name string) ([]byte, error)) error {
	if len(p.Value) > 0 || p.Range != nil {
		return errors.New("there are values or a range as well")
	}
	content, err := read(p.File)
	if err != nil {
		return err
	}
	column := p.Column
	if column == "" {
		column = p.Name
	}
	switch {
	case strings.HasSuffix(p.File, ".csv"):
		p.Value, err = fromCSV(content, column)
	case strings.HasSuffix(p.File, ".jsonl"):
		p.Value, err = fromJSONLines(content, column)
	default:
		err = errUnknownFileType
	}
	return err
}

// fromCSV reads a column of a CSV file whose first line has the names of the columns. A cell
// that can be parsed as a number is a number; any other is a string.
func fromCSV(content []byte, column string) ([]*sweeppb.Value, error) {
	reader := csv.NewReader(bytes.NewReader(content))
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("line of names: %w", err)
	}
	i := slices.Index(header, column)
	if i < 0 {
		return nil, fmt.Errorf("no column %q", column)
	}
	var values []*sweeppb.Value
	for len(values) <= MaxRuns {
		line, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return values, nil
		}
		if err != nil {
			return nil, err
		}
		values = append(values, parseScalar(line[i]))
	}
	return nil, fmt.Errorf("more than %d lines", MaxRuns)
}

// fromJSONLines reads the field named column of each object in a JSON Lines file.
func fromJSONLines(content []byte, column string) ([]*sweeppb.Value, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var values []*sweeppb.Value
	for number := 1; len(values) <= MaxRuns; number++ {
		var object map[string]any
		err := decoder.Decode(&object)
		if errors.Is(err, io.EOF) {
			return values, nil
		}
		if err != nil {
			return nil, fmt.Errorf("object %d: %w", number, err)
		}
		switch field := object[column].(type) {
		case json.Number:
			values = append(values, parseScalar(field.String()))
		case string:
			values = append(values, textValue(field))
		case bool:
			values = append(values, &sweeppb.Value{Is: &sweeppb.Value_Flag{Flag: field}})
		default:
			return nil, fmt.Errorf("object %d: %q is missing, or neither a number, a text nor true or false", number, column)
		}
	}
	return nil, fmt.Errorf("more than %d objects", MaxRuns)
}

// parseScalar parses text as a number, or returns it as a string value if it is not one.
func parseScalar(text string) *sweeppb.Value {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return &sweeppb.Value{Is: &sweeppb.Value_Int{Int: n}}
	}
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return &sweeppb.Value{Is: &sweeppb.Value_Real{Real: x}}
	}
	return textValue(text)
}

func textValue(text string) *sweeppb.Value {
	return &sweeppb.Value{Is: &sweeppb.Value_Text{Text: text}}
}
