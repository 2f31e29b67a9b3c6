package sweep

import (
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"slices"
	"strings"

	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// digestBytes is the length of a digest in bytes. A digest is a prefix of the hash of all runs.
const digestBytes = 16

// Run is one job of a sweep.
type Run struct {
	// ID is the job's id, derived from the sweep's id and the values.
	ID string
	// Values are the run's values in the order of Expansion.Parameters.
	Values []Value
	// SetIndexes are the indexes, from 0, of the run's values among the sets of the sweep
	// that skip_if did not exclude. There are several if identical sets were merged.
	SetIndexes []int
	// Job is the job's submission: its fields by their JSON names.
	Job map[string]any
}

// Expansion is the result of expanding a sweep.
type Expansion struct {
	ID         string
	Parameters []string
	// Runs are ordered so that each run comes after the runs that it depends on.
	Runs []Run
	// NumSets is the number of sets of values, without the NumSkipped sets that skip_if
	// excluded.
	NumSets, NumSkipped int
	// MaxUnfinished is the maximum number of runs that may be unfinished at the same time.
	MaxUnfinished int
	// Digest identifies the runs and their order: it differs if either does.
	Digest string
}

// Describe formats a run's values with their parameters' names, for messages to users.
func (x *Expansion) Describe(values []Value) string {
	var b strings.Builder
	b.WriteByte('{')
	for i, name := range x.Parameters {
		if i > 0 {
			b.WriteString(", ")
		}
		if text, ok := values[i].(string); ok {
			fmt.Fprintf(&b, "%s: %q", name, text)
		} else {
			fmt.Fprintf(&b, "%s: %v", name, values[i])
		}
	}
	b.WriteByte('}')
	return b.String()
}

// Expand expands a sweep into its runs. The files that its parameters name must have been
// replaced by values; see Resolve.
func Expand(s *sweeppb.Sweep) (*Expansion, error) {
	x, sets, err := newExpander(s)
	if err != nil {
		return nil, err
	}
	for _, values := range sets {
		if err := x.addSet(values); err != nil {
			return nil, err
		}
	}
	if len(x.Runs) == 0 {
		return nil, errors.New("skip_if: no set of values is left")
	}
	for i := range x.Runs {
		run := &x.Runs[i]
		if run.Job, err = x.buildJob(run); err != nil {
			return nil, x.runError(run.Values, err)
		}
	}
	if err := x.sortByDependencies(); err != nil {
		return nil, err
	}
	x.Digest = digestRuns(x.Runs)
	return &x.Expansion, nil
}

func digestRuns(runs []Run) string {
	var h hash.Hash = blake3.New()
	for i := range runs {
		h.Write(fmt.Appendf(nil, "%s %v\n", runs[i].ID, runs[i].Job))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// expander is an expansion in progress.
type expander struct {
	Expansion

	description *sweeppb.Sweep
	skipIf      []*expr
	fields      []fieldExpr
	// runIndexes maps the ids of runs to their indexes in Runs.
	runIndexes map[string]int
	// stepsLeft is the number of execution steps left for all expressions together.
	stepsLeft uint64
}

// fieldExpr is an expression that computes a field of the job.
type fieldExpr struct {
	field protoreflect.FieldDescriptor
	expr  *expr
}

// newExpander checks a sweep and returns an expander for it, with its sets of values.
func newExpander(s *sweeppb.Sweep) (x *expander, sets [][]Value, err error) {
	if !idPattern.MatchString(s.Id) {
		return nil, nil, fmt.Errorf("id: %q is not 1 to 48 letters, digits, '.', '_' and '-'", s.Id)
	}
	if s.Job == nil {
		return nil, nil, errors.New("job: missing")
	}
	if n := MaxUnfinished(s); n < 1 || n > maxPending {
		return nil, nil, fmt.Errorf("pending: %d is not 1 to %d", n, maxPending)
	}
	names, sets, err := valueSets(s)
	if err != nil {
		return nil, nil, err
	}
	skipIf, err := compileSkips(s, names)
	if err != nil {
		return nil, nil, err
	}
	fields, err := compileFields(s, names)
	if err != nil {
		return nil, nil, err
	}
	return &expander{
		Expansion:   Expansion{ID: s.Id, Parameters: names, MaxUnfinished: MaxUnfinished(s)},
		description: s,
		skipIf:      skipIf,
		fields:      fields,
		runIndexes:  map[string]int{},
		stepsLeft:   maxTotalSteps,
	}, sets, nil
}

func compileSkips(s *sweeppb.Sweep, names []string) ([]*expr, error) {
	if len(s.SkipIf) > maxSkips {
		return nil, fmt.Errorf("skip_if: %d of them, at most %d are possible", len(s.SkipIf), maxSkips)
	}
	var skips []*expr
	for i, text := range s.SkipIf {
		e, err := compile(fmt.Sprintf("skip_if %d", i+1), text, names)
		if err != nil {
			return nil, err
		}
		skips = append(skips, e)
	}
	return skips, nil
}

func compileFields(s *sweeppb.Sweep, names []string) ([]fieldExpr, error) {
	job := s.Job.ProtoReflect()
	var fields []fieldExpr
	for _, set := range s.Set {
		field := job.Descriptor().Fields().ByName(protoreflect.Name(set.Field))
		if field == nil {
			return nil, fmt.Errorf("set: a job has no field %q", set.Field)
		}
		isSet := slices.ContainsFunc(fields, func(f fieldExpr) bool { return f.field == field })
		if isSet || job.Has(field) {
			return nil, fmt.Errorf("set %s: the field is given twice", set.Field)
		}
		e, err := compile("set "+set.Field, set.Is, names)
		if err != nil {
			return nil, err
		}
		fields = append(fields, fieldExpr{field: field, expr: e})
	}
	return fields, nil
}

// runError adds the run with the given values to an error.
func (x *expander) runError(values []Value, err error) error {
	return fmt.Errorf("run %s: %w", x.Describe(values), err)
}

// addSet adds the run for a set of values, unless a condition skips it. A set that is
// identical to an earlier one is merged into that run, or is an error if merging is not
// enabled.
func (x *expander) addSet(values []Value) error {
	skipped, err := x.isSkipped(values)
	if err != nil {
		return x.runError(values, err)
	}
	if skipped {
		x.NumSkipped++
		return nil
	}
	setIndex := x.NumSets
	x.NumSets++
	id := RunID(x.ID, x.Parameters, values)
	i, exists := x.runIndexes[id]
	if !exists {
		x.runIndexes[id] = len(x.Runs)
		x.Runs = append(x.Runs, Run{ID: id, Values: values, SetIndexes: []int{setIndex}})
		return nil
	}
	run := &x.Runs[i]
	if x.description.Duplicates != sweeppb.Sweep_MERGE {
		return fmt.Errorf("sets %d and %d have the same values %s; duplicates: MERGE makes them one run", run.SetIndexes[0]+1, setIndex+1, x.Describe(values))
	}
	run.SetIndexes = append(run.SetIndexes, setIndex)
	return nil
}

// isSkipped reports whether a skip_if condition excludes a set of values.
func (x *expander) isSkipped(values []Value) (bool, error) {
	scope := scope{parameters: x.Parameters, values: values, runID: rejectRunCall}
	for _, condition := range x.skipIf {
		result, err := condition.eval(scope, &x.stepsLeft)
		if err != nil {
			return false, err
		}
		skip, ok := result.(bool)
		if !ok {
			return false, fmt.Errorf("%s: %v is neither True nor False", condition.location, result)
		}
		if skip {
			return true, nil
		}
	}
	return false, nil
}

// rejectRunCall is the scope.runID of skip_if conditions: they are evaluated before all
// runs are known, so they cannot refer to runs.
func rejectRunCall(map[string]Value) (string, error) { return "", errors.New("run: not in skip_if") }

// buildJob creates a run's job from the template and the expressions.
func (x *expander) buildJob(run *Run) (map[string]any, error) {
	job := x.templateJob(run.ID)
	scope := scope{
		parameters: x.Parameters,
		values:     run.Values,
		runID:      func(named map[string]Value) (string, error) { return x.runID(run, named) },
	}
	for _, f := range x.fields {
		value, err := f.expr.eval(scope, &x.stepsLeft)
		if err != nil {
			return nil, err
		}
		if value == nil {
			continue // None leaves the field out
		}
		if value, err = convertTo(f.field, value); err != nil {
			return nil, fmt.Errorf("%s: %w", f.expr.location, err)
		}
		job[string(f.field.Name())] = value
	}
	return job, nil
}

// templateJob returns the fields of the job template, with the given id and with defaults for
// fields that a submission must not omit.
func (x *expander) templateJob(id string) map[string]any {
	job := map[string]any{
		"name_id":     id,
		"gpus":        0.0,
		"bank_s":      0.0,
		"bank_cost_s": 0.0,
		"pull_gb":     0.0,
		"one_zone":    false,
		"scatter":     false,
		"borrowed":    false,
	}
	x.description.Job.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		name := string(field.Name())
		if !field.IsList() {
			job[name] = value.Interface()
			return true
		}
		list := []any{}
		for i := range value.List().Len() {
			list = append(list, value.List().Get(i).String())
		}
		job[name] = list
		return true
	})
	return job
}

// runID returns the id of the run that has the named values, and for all other parameters
// the values of run.
func (x *expander) runID(run *Run, named map[string]Value) (string, error) {
	values := make([]Value, len(x.Parameters))
	for i, name := range x.Parameters {
		value, ok := named[name]
		if !ok {
			value = run.Values[i]
		}
		values[i] = value
		delete(named, name)
	}
	for name := range named {
		return "", fmt.Errorf("run: %q is no parameter", name)
	}
	id := RunID(x.ID, x.Parameters, values)
	if _, ok := x.runIndexes[id]; !ok {
		return "", fmt.Errorf("run: there is no run %s", x.Describe(values))
	}
	return id, nil
}

// convertTo checks that a value has the type of a field, and converts integers to float64.
func convertTo(field protoreflect.FieldDescriptor, value any) (any, error) {
	switch {
	case field.IsList():
		return convertToList(value)
	case field.Kind() == protoreflect.StringKind:
		if _, ok := value.(string); !ok {
			return nil, fmt.Errorf("%v is no text", value)
		}
		return value, nil
	case field.Kind() == protoreflect.BoolKind:
		if _, ok := value.(bool); !ok {
			return nil, fmt.Errorf("%v is neither True nor False", value)
		}
		return value, nil
	}
	switch number := value.(type) {
	case int64:
		return float64(number), nil
	case float64:
		return number, nil
	}
	return nil, fmt.Errorf("%v is no number", value)
}

func convertToList(value any) (any, error) {
	list, ok := value.([]any)
	if !ok {
		return nil, fmt.Errorf("%v is no list", value)
	}
	for _, item := range list {
		if _, ok := item.(string); !ok {
			return nil, fmt.Errorf("%v in the list is no text", item)
		}
	}
	return list, nil
}
