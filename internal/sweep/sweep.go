// Package sweep describes one job for many sets of values, and expands it. It
// is pure: the same file gives the same runs in the same order on any machine,
// so that a sweep is stored as its description and not as its runs.
package sweep

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"

	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// Bounds of a sweep.
const (
	MaxRuns        = 10_000
	MaxParameters  = 32
	MaxText        = 1024 // bytes of a text value
	maxSkips       = 32
	maxPending     = 1000
	defaultPending = 100
)

var (
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9._-]{1,48}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,63}$`)
)

// ValidID says whether an id can be a sweep's.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Parse reads a sweep file.
func Parse(text []byte) (*sweeppb.Sweep, error) {
	s := &sweeppb.Sweep{}
	if err := prototext.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return s, nil
}

// Encode makes the description that is sent and stored.
func Encode(s *sweeppb.Sweep) []byte {
	b, err := prototext.Marshal(s)
	if err != nil {
		panic(err) // what was parsed encodes
	}
	return b
}

// MaxUnfinished is how many runs may be unfinished at once.
func MaxUnfinished(s *sweeppb.Sweep) int {
	if s.Pending == nil {
		return defaultPending
	}
	return int(s.GetPending())
}

// Resolve puts the values of files that parameters name in their place. read
// is given the names as they stand.
func Resolve(s *sweeppb.Sweep, read func(name string) ([]byte, error)) error {
	for _, p := range s.Parameter {
		if p.File == "" {
			continue
		}
		where := "parameter " + p.Name + ": file " + p.File
		if len(p.Value) > 0 || p.Range != nil {
			return fmt.Errorf("%s: there are values or a range as well", where)
		}
		b, err := read(p.File)
		if err != nil {
			return fmt.Errorf("%s: %w", where, err)
		}
		column := p.Column
		if column == "" {
			column = p.Name
		}
		switch {
		case strings.HasSuffix(p.File, ".csv"):
			p.Value, err = fromCSV(b, column)
		case strings.HasSuffix(p.File, ".jsonl"):
			p.Value, err = fromJSONLines(b, column)
		default:
			err = errors.New("neither .csv nor .jsonl")
		}
		if err != nil {
			return fmt.Errorf("%s: %w", where, err)
		}
		p.File, p.Column = "", ""
	}
	return nil
}

// fromCSV takes what reads as a number for one, and all else for text.
func fromCSV(b []byte, column string) ([]*sweeppb.Value, error) {
	r := csv.NewReader(bytes.NewReader(b))
	head, err := r.Read()
	if err != nil {
		return nil, fmt.Errorf("line of names: %w", err)
	}
	i := slices.Index(head, column)
	if i < 0 {
		return nil, fmt.Errorf("no column %q", column)
	}
	var out []*sweeppb.Value
	for len(out) <= MaxRuns {
		line, err := r.Read()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		out = append(out, parseScalar(line[i]))
	}
	return nil, fmt.Errorf("more than %d lines", MaxRuns)
}

func parseScalar(text string) *sweeppb.Value {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return &sweeppb.Value{Is: &sweeppb.Value_Int{Int: n}}
	}
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return &sweeppb.Value{Is: &sweeppb.Value_Real{Real: x}}
	}
	return &sweeppb.Value{Is: &sweeppb.Value_Text{Text: text}}
}

func fromJSONLines(b []byte, column string) ([]*sweeppb.Value, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var out []*sweeppb.Value
	for line := 1; len(out) <= MaxRuns; line++ {
		var o map[string]any
		if err := d.Decode(&o); err == io.EOF {
			return out, nil
		} else if err != nil {
			return nil, fmt.Errorf("object %d: %w", line, err)
		}
		switch v := o[column].(type) {
		case json.Number:
			out = append(out, parseScalar(v.String()))
		case string:
			out = append(out, &sweeppb.Value{Is: &sweeppb.Value_Text{Text: v}})
		case bool:
			out = append(out, &sweeppb.Value{Is: &sweeppb.Value_Flag{Flag: v}})
		default:
			return nil, fmt.Errorf("object %d: %q is missing, or neither a number, a text nor true or false", line, column)
		}
	}
	return nil, fmt.Errorf("more than %d objects", MaxRuns)
}

// Value is a number, a text, or true or false: int64, float64, string or bool,
// a number without a fraction being an int64 whatever way it was written.
type Value any

// canonical makes a Value; 1 and 1.0 are the same, "1" is a text, and what is
// no number is refused.
func canonical(v *sweeppb.Value) (Value, error) {
	switch x := v.GetIs().(type) {
	case *sweeppb.Value_Int:
		return x.Int, nil
	case *sweeppb.Value_Real:
		return canonicalNumber(x.Real)
	case *sweeppb.Value_Text:
		if len(x.Text) > MaxText {
			return nil, fmt.Errorf("a text of more than %d bytes", MaxText)
		}
		return x.Text, nil
	case *sweeppb.Value_Flag:
		return x.Flag, nil
	}
	return nil, errors.New("a value without int, real, text or flag")
}

func canonicalNumber(x float64) (Value, error) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return nil, errors.New("not a number, or without bound")
	}
	if x == math.Trunc(x) && math.Abs(x) < 1<<53 {
		return int64(x), nil
	}
	return x, nil
}

// parameterValues lists what a parameter goes through.
func parameterValues(p *sweeppb.Parameter) ([]Value, error) {
	if p.File != "" {
		return nil, fmt.Errorf("file %s has not been read; zinclb sweep does that", p.File)
	}
	if p.Range != nil {
		if len(p.Value) > 0 {
			return nil, errors.New("values and a range")
		}
		return rangeValues(p.Range)
	}
	if len(p.Value) == 0 {
		return nil, errors.New("no value")
	}
	out := make([]Value, 0, len(p.Value))
	for i, v := range p.Value {
		x, err := canonical(v)
		if err != nil {
			return nil, fmt.Errorf("value %d: %w", i+1, err)
		}
		out = append(out, x)
	}
	return out, nil
}

func rangeValues(r *sweeppb.Range) ([]Value, error) {
	step := 1.0
	if r.Step != nil {
		step = r.GetStep()
	}
	n := math.Floor((r.To-r.From)/step + 1e-9)
	if math.IsNaN(n) || step == 0 || n < 0 || n >= MaxRuns {
		return nil, fmt.Errorf("range from %v to %v by %v: no values, or more than %d", r.From, r.To, step, MaxRuns)
	}
	var out []Value
	for i := range int(n) + 1 {
		// Counted, not added up: no error builds up.
		x, err := canonicalNumber(r.From + float64(i)*step)
		if err != nil {
			return nil, err
		}
		out = append(out, x)
	}
	return out, nil
}
