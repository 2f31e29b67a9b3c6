package sweep

import (
	"errors"
	"fmt"
	"math"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

var errProductTooLong = errors.New("a text or list would grow too long")

// scope has the parameters of the run that an expression is evaluated for.
type scope struct {
	parameters []string
	values     []Value
	// runID returns the id of the run of the same sweep with the named values.
	runID func(named map[string]Value) (string, error)
}

// eval evaluates an expression. stepsLeft is the number of steps left for all expressions
// together; eval subtracts the steps that it takes.
func (e *expr) eval(scope scope, stepsLeft *uint64) (any, error) {
	result, err := e.run(scope, stepsLeft)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.location, err)
	}
	return result, nil
}

func (e *expr) run(scope scope, stepsLeft *uint64) (any, error) {
	thread := &starlark.Thread{Name: e.location, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := e.program.Init(thread, scope.environment())
	if err != nil {
		return nil, err
	}
	// A call of a builtin counts as one step, and so does each operation.
	steps := thread.ExecutionSteps() + 1
	if steps > *stepsLeft {
		return nil, fmt.Errorf("all expressions together take more than %d steps", maxTotalSteps)
	}
	*stepsLeft -= steps
	return fromStarlark(globals[resultName])
}

// environment returns the names that an expression can use, with their values.
func (s scope) environment() starlark.StringDict {
	environment := starlark.StringDict{
		productName: starlark.NewBuiltin(productName, checkedProduct),
		"round":     starlark.NewBuiltin("round", roundHalfAwayFromZero),
		"run":       starlark.NewBuiltin("run", s.run),
		"run_of":    starlark.NewBuiltin("run_of", runOf),
	}
	for i, name := range s.parameters {
		switch value := s.values[i].(type) {
		case int64:
			environment[name] = starlark.MakeInt64(value)
		case float64:
			environment[name] = starlark.Float(value)
		case string:
			environment[name] = starlark.String(value)
		case bool:
			environment[name] = starlark.Bool(value)
		}
	}
	for _, name := range builtins {
		if value := starlark.Universe[name]; value != nil && environment[name] == nil {
			environment[name] = value
		}
	}
	return environment
}

// run implements the builtin run, which returns the id of a run of the same sweep.
func (s scope) run(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, keywords []starlark.Tuple) (starlark.Value, error) {
	if len(args) > 0 {
		return nil, errors.New("run: values are given by their names")
	}
	names, values, err := keywordValues(keywords)
	if err != nil {
		return nil, err
	}
	named := map[string]Value{}
	for i, name := range names {
		named[name] = values[i]
	}
	id, err := s.runID(named)
	return starlark.String(id), err
}

// runOf implements the builtin run_of, which returns the id of a run of another sweep.
func runOf(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, keywords []starlark.Tuple) (starlark.Value, error) {
	sweep, ok := starlark.String(""), len(args) == 1
	if ok {
		sweep, ok = args[0].(starlark.String)
	}
	if !ok || !ValidID(string(sweep)) {
		return nil, errors.New("run_of: takes the id of a sweep, and then values by their names")
	}
	names, values, err := keywordValues(keywords)
	if err != nil {
		return nil, err
	}
	return starlark.String(RunID(string(sweep), names, values)), nil
}

// keywordValues returns the names and values of a call's keyword arguments.
func keywordValues(keywords []starlark.Tuple) (names []string, values []Value, err error) {
	for _, pair := range keywords {
		value, err := fromStarlark(pair[1])
		if err != nil {
			return nil, nil, err
		}
		names = append(names, string(pair[0].(starlark.String)))
		values = append(values, value)
	}
	return names, values, nil
}

// checkedProduct implements the operator *. It returns an error for a repetition of a string
// or list whose result would be longer than maxProductSize.
func checkedProduct(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	a, b := args[0], args[1]
	if repeatsTooLong(a, b) || repeatsTooLong(b, a) {
		return nil, errProductTooLong
	}
	return starlark.Binary(syntax.STAR, a, b)
}

// repeatsTooLong reports whether x is a string or list that would be longer than
// maxProductSize if it is repeated the given number of times.
func repeatsTooLong(x, times starlark.Value) bool {
	var length int
	switch x := x.(type) {
	case starlark.Sequence:
		length = x.Len()
	case starlark.String:
		length = x.Len()
	default:
		return false
	}
	n, err := starlark.AsInt32(times)
	return err != nil || n > 0 && length > maxProductSize/n
}

// roundHalfAwayFromZero implements the builtin round, which rounds to the nearest whole
// number, and halves away from zero.
func roundHalfAwayFromZero(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, keywords []starlark.Tuple) (starlark.Value, error) {
	var x starlark.Value
	if err := starlark.UnpackPositionalArgs(b.Name(), args, keywords, 1, &x); err != nil {
		return nil, err
	}
	number, ok := starlark.AsFloat(x)
	if !ok || math.IsNaN(number) || math.Abs(number) >= maxExactInteger {
		return nil, errors.New("round: no number")
	}
	return starlark.MakeInt64(int64(math.Round(number))), nil
}

// fromStarlark converts a Starlark value to a Value, a list of values, or nil for None.
func fromStarlark(v starlark.Value) (any, error) {
	switch v := v.(type) {
	case starlark.Int:
		n, ok := v.Int64()
		if !ok {
			return nil, errors.New("a number that is too large")
		}
		return n, nil
	case starlark.Float:
		return canonicalNumber(float64(v))
	case starlark.String:
		return checkTextLength(string(v))
	case starlark.Bool:
		return bool(v), nil
	case starlark.NoneType:
		return nil, nil
	case *starlark.List:
		list := []any{}
		for i := range v.Len() {
			item, err := fromStarlark(v.Index(i))
			if err != nil {
				return nil, err
			}
			list = append(list, item)
		}
		return list, nil
	}
	return nil, fmt.Errorf("a %s, which is neither a number, a text, a list nor true or false", v.Type())
}
