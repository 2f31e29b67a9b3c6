package sweep

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// Value is the value of a parameter: an int64, float64, string or bool. A number without a
// fraction is an int64 no matter how it was written, unless it was written as a real number and
// its absolute value is maxExactInteger or more.
type Value any

// maxExactInteger is the bound below which a float64 represents every whole number exactly.
const maxExactInteger = 1 << 53

// canonicalValue converts a value to a Value. 1 and 1.0 are the same number, "1" is a
// string, and NaN and infinities are errors.
func canonicalValue(v *sweeppb.Value) (Value, error) {
	switch is := v.GetIs().(type) {
	case *sweeppb.Value_Int:
		return is.Int, nil
	case *sweeppb.Value_Real:
		return canonicalNumber(is.Real)
	case *sweeppb.Value_Text:
		return checkTextLength(is.Text)
	case *sweeppb.Value_Flag:
		return is.Flag, nil
	}
	return nil, errors.New("a value without int, real, text or flag")
}

func canonicalNumber(x float64) (Value, error) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return nil, errors.New("not a number, or without bound")
	}
	if x == math.Trunc(x) && math.Abs(x) < maxExactInteger {
		return int64(x), nil
	}
	return x, nil
}

func checkTextLength(text string) (Value, error) {
	if len(text) > MaxText {
		return nil, fmt.Errorf("a text of more than %d bytes", MaxText)
	}
	return text, nil
}

// valueSets returns the names of the parameters and all sets of values of a sweep. The
// values in each set are in the order of names.
func valueSets(s *sweeppb.Sweep) (names []string, sets [][]Value, err error) {
	if len(s.Row) > 0 {
		return tableSets(s)
	}
	return parameterSets(s)
}

// addName checks the name of a parameter and appends it to names. Expressions refer to
// parameters by name, so a parameter can't have the name of a builtin.
func addName(names []string, name string) ([]string, error) {
	switch {
	case !namePattern.MatchString(name):
		return nil, fmt.Errorf("parameter %q: not a name of letters, digits and '_'", name)
	case slices.Contains(builtins, name):
		return nil, fmt.Errorf("parameter %s: the name is taken in expressions", name)
	case slices.Contains(names, name):
		return nil, fmt.Errorf("parameter %s: declared twice", name)
	}
	return append(names, name), nil
}

// parameterSets combines the values of the parameters.
func parameterSets(s *sweeppb.Sweep) (names []string, sets [][]Value, err error) {
	if len(s.Parameter) == 0 || len(s.Parameter) > MaxParameters {
		return nil, nil, fmt.Errorf("parameter: %d of them, 1 to %d are possible", len(s.Parameter), MaxParameters)
	}
	zip := s.Combine == sweeppb.Sweep_ZIP
	var lists [][]Value
	total := 1
	for _, p := range s.Parameter {
		if names, err = addName(names, p.Name); err != nil {
			return nil, nil, err
		}
		values, err := parameterValues(p)
		if err != nil {
			return nil, nil, fmt.Errorf("parameter %s: %w", p.Name, err)
		}
		lists = append(lists, values)
		if s.Combine == sweeppb.Sweep_PRODUCT {
			total *= len(values)
			if total > MaxRuns {
				return nil, nil, fmt.Errorf("parameter %s: more than %d sets of values", p.Name, MaxRuns)
			}
		} else if len(values) != len(lists[0]) {
			return nil, nil, fmt.Errorf("parameter %s: %d values, and %s has %d; ZIP takes as many of each", p.Name, len(values), names[0], len(lists[0]))
		}
	}
	if zip {
		if len(lists[0]) > MaxRuns {
			return nil, nil, fmt.Errorf("parameter %s: more than %d values", names[0], MaxRuns)
		}
		return names, zipSets(lists), nil
	}
	return names, productSets(lists, total), nil
}

// zipSets combines the first values of all lists, the second values, and so on.
func zipSets(lists [][]Value) [][]Value {
	var sets [][]Value
	for k := range lists[0] {
		set := make([]Value, len(lists))
		for i := range lists {
			set[i] = lists[i][k]
		}
		sets = append(sets, set)
	}
	return sets
}

// productSets returns the Cartesian product of the lists. The last list varies fastest.
func productSets(lists [][]Value, total int) [][]Value {
	var sets [][]Value
	for k := range total {
		set := make([]Value, len(lists))
		rest := k
		for i := len(lists) - 1; i >= 0; i-- {
			set[i] = lists[i][rest%len(lists[i])]
			rest /= len(lists[i])
		}
		sets = append(sets, set)
	}
	return sets
}

// tableSets returns a set of values for each row of the table.
func tableSets(s *sweeppb.Sweep) (names []string, sets [][]Value, err error) {
	if len(s.Parameter) > 0 {
		return nil, nil, errors.New("row: there are parameters as well")
	}
	if len(s.Row) > MaxRuns {
		return nil, nil, fmt.Errorf("row: more than %d", MaxRuns)
	}
	for _, cell := range s.Row[0].Cell {
		if names, err = addName(names, cell.Name); err != nil {
			return nil, nil, err
		}
	}
	if n := len(names); n == 0 || n > MaxParameters {
		return nil, nil, fmt.Errorf("row 1: %d cells, 1 to %d are possible", n, MaxParameters)
	}
	for i, row := range s.Row {
		set, err := rowValues(row, names)
		if err != nil {
			return nil, nil, fmt.Errorf("row %d: %w", i+1, err)
		}
		sets = append(sets, set)
	}
	return names, sets, nil
}

// rowValues returns a row's values in the order of names.
func rowValues(row *sweeppb.Row, names []string) ([]Value, error) {
	set := make([]Value, len(names))
	for _, cell := range row.Cell {
		i := slices.Index(names, cell.Name)
		if i < 0 || set[i] != nil {
			return nil, fmt.Errorf("cell %q is not in the first row, or there twice", cell.Name)
		}
		value, err := canonicalValue(cell.Value)
		if err != nil {
			return nil, fmt.Errorf("cell %s: %w", cell.Name, err)
		}
		set[i] = value
	}
	if i := slices.Index(set, nil); i >= 0 {
		return nil, fmt.Errorf("no cell %s", names[i])
	}
	return set, nil
}

// parameterValues returns the values of a parameter from its list or its range.
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
	values := make([]Value, 0, len(p.Value))
	for i, v := range p.Value {
		value, err := canonicalValue(v)
		if err != nil {
			return nil, fmt.Errorf("value %d: %w", i+1, err)
		}
		values = append(values, value)
	}
	return values, nil
}

// rangeTolerance is a fraction of a step. It makes a range include its end despite
// rounding errors.
const rangeTolerance = 1e-9

func rangeValues(r *sweeppb.Range) ([]Value, error) {
	step := 1.0
	if r.Step != nil {
		step = r.GetStep()
	}
	steps := math.Floor((r.To-r.From)/step + rangeTolerance)
	if math.IsNaN(steps) || step == 0 || steps < 0 || steps >= MaxRuns {
		return nil, fmt.Errorf("range from %v to %v by %v: no values, or more than %d", r.From, r.To, step, MaxRuns)
	}
	var values []Value
	for i := range int(steps) + 1 {
		// Multiplying instead of adding up avoids accumulated rounding errors.
		value, err := canonicalNumber(r.From + float64(i)*step)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}
