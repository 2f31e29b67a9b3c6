package sweep

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// Run is one job of a sweep.
type Run struct {
	// ID is the job's, derived from the sweep's id and the values.
	ID string
	// Values are in the order of Expansion.Parameters.
	Values []Value
	// SetIndexes are where the run's values stand among all sets of the sweep,
	// counted from 0; there are several if identical sets were merged.
	SetIndexes []int
	// Job has the fields of a submission.
	Job map[string]any
}

// Expansion is all that a sweep describes.
type Expansion struct {
	ID         string
	Parameters []string
	// Runs are in an order in which each comes after those that it awaits.
	Runs []Run
	// NumSets is how many sets of values there are, Skipped how many more were
	// left out.
	NumSets, NumSkipped int
	Pending             int
	// Digest names the whole: the same only for the same runs in one order.
	Digest    string
	stepsLeft uint64 // left to the expressions
}

// Describe says a run's values in words.
func (x *Expansion) Describe(vals []Value) string { return formatValues(x.Parameters, vals) }

func formatValues(names []string, vals []Value) string {
	var b strings.Builder
	b.WriteByte('{')
	for i, n := range names {
		if i > 0 {
			b.WriteString(", ")
		}
		if s, ok := vals[i].(string); ok {
			fmt.Fprintf(&b, "%s: %q", n, s)
		} else {
			fmt.Fprintf(&b, "%s: %v", n, vals[i])
		}
	}
	b.WriteByte('}')
	return b.String()
}

// Prefix begins the ids of all runs; no other job may have one that does.
const Prefix = "sweep."

// RunID is the id of the run of a sweep with a set of values. The order in which
// parameters are declared does not matter.
func RunID(sweep string, names []string, vals []Value) string {
	h := blake3.New()
	field := func(kind byte, b []byte) {
		var n [9]byte
		n[0] = kind
		binary.BigEndian.PutUint64(n[1:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	field('s', []byte(sweep))
	order := make([]int, len(names))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(names[a], names[b]) })
	for _, i := range order {
		field('n', []byte(names[i]))
		switch v := vals[i].(type) {
		case int64:
			field('i', strconv.AppendInt(nil, v, 10))
		case float64:
			field('f', binary.BigEndian.AppendUint64(nil, math.Float64bits(v)))
		case string:
			field('t', []byte(v))
		case bool:
			field('b', strconv.AppendBool(nil, v))
		}
	}
	return Prefix + sweep + "." + hex.EncodeToString(h.Sum(nil)[:12])
}

// Expand makes the runs of a sweep whose files were read.
func Expand(s *sweeppb.Sweep) (*Expansion, error) {
	if !idPattern.MatchString(s.Id) {
		return nil, fmt.Errorf("id: %q is not 1 to 48 letters, digits, '.', '_' and '-'", s.Id)
	}
	if s.Job == nil {
		return nil, errors.New("job: missing")
	}
	if n := MaxUnfinished(s); n < 1 || n > maxPending {
		return nil, fmt.Errorf("pending: %d is not 1 to %d", n, maxPending)
	}
	names, sets, err := valueSets(s)
	if err != nil {
		return nil, err
	}
	x := &Expansion{ID: s.Id, Parameters: names, Pending: MaxUnfinished(s), stepsLeft: maxTotalSteps}
	var skips []*expr
	if len(s.SkipIf) > maxSkips {
		return nil, fmt.Errorf("skip_if: %d of them, at most %d are possible", len(s.SkipIf), maxSkips)
	}
	for i, text := range s.SkipIf {
		e, err := compile(fmt.Sprintf("skip_if %d", i+1), text, names)
		if err != nil {
			return nil, err
		}
		skips = append(skips, e)
	}
	fields, err := compileFields(s, names)
	if err != nil {
		return nil, err
	}
	known := map[string]int{} // runs by their ids
	for _, vals := range sets {
		skip, err := x.isSkipped(skips, vals)
		if err != nil {
			return nil, err
		}
		if skip {
			x.NumSkipped++
			continue
		}
		place := x.NumSets
		x.NumSets++
		id := RunID(s.Id, names, vals)
		if i, twice := known[id]; twice {
			if s.Duplicates != sweeppb.Sweep_MERGE {
				return nil, fmt.Errorf("sets %d and %d have the same values %s; duplicates: MERGE makes them one run", x.Runs[i].SetIndexes[0]+1, place+1, x.Describe(vals))
			}
			x.Runs[i].SetIndexes = append(x.Runs[i].SetIndexes, place)
			continue
		}
		known[id] = len(x.Runs)
		x.Runs = append(x.Runs, Run{ID: id, Values: vals, SetIndexes: []int{place}})
	}
	if len(x.Runs) == 0 {
		return nil, errors.New("skip_if: no set of values is left")
	}
	for i := range x.Runs {
		if err := x.buildJob(&x.Runs[i], s.Job, fields, known); err != nil {
			return nil, fmt.Errorf("run %s: %w", x.Describe(x.Runs[i].Values), err)
		}
	}
	if err := x.sortByDependencies(known); err != nil {
		return nil, err
	}
	h := blake3.New()
	for i := range x.Runs {
		fmt.Fprintf(h, "%s %v\n", x.Runs[i].ID, x.Runs[i].Job)
	}
	x.Digest = hex.EncodeToString(h.Sum(nil)[:16])
	return x, nil
}

// valueSets lists all sets of values.
func valueSets(s *sweeppb.Sweep) (names []string, sets [][]Value, err error) {
	name := func(n string) error {
		switch {
		case !namePattern.MatchString(n):
			return fmt.Errorf("parameter %q: not a name of letters, digits and '_'", n)
		case slices.Contains(builtins, n):
			return fmt.Errorf("parameter %s: the name is taken in expressions", n)
		case slices.Contains(names, n):
			return fmt.Errorf("parameter %s: declared twice", n)
		}
		names = append(names, n)
		return nil
	}
	if len(s.Row) > 0 {
		return tableSets(s, name, &names)
	}
	if len(s.Parameter) == 0 || len(s.Parameter) > MaxParameters {
		return nil, nil, fmt.Errorf("parameter: %d of them, 1 to %d are possible", len(s.Parameter), MaxParameters)
	}
	var lists [][]Value
	total := 1
	for _, p := range s.Parameter {
		if err := name(p.Name); err != nil {
			return nil, nil, err
		}
		l, err := parameterValues(p)
		if err != nil {
			return nil, nil, fmt.Errorf("parameter %s: %w", p.Name, err)
		}
		lists = append(lists, l)
		if s.Combine == sweeppb.Sweep_PRODUCT {
			if total *= len(l); total > MaxRuns {
				return nil, nil, fmt.Errorf("parameter %s: more than %d sets of values", p.Name, MaxRuns)
			}
		} else if len(l) != len(lists[0]) {
			return nil, nil, fmt.Errorf("parameter %s: %d values, and %s has %d; ZIP takes as many of each", p.Name, len(l), names[0], len(lists[0]))
		}
	}
	if s.Combine == sweeppb.Sweep_ZIP {
		if total = len(lists[0]); total > MaxRuns {
			return nil, nil, fmt.Errorf("parameter %s: more than %d values", names[0], MaxRuns)
		}
	}
	for k := range total {
		set := make([]Value, len(lists))
		for i, rest := len(lists)-1, k; i >= 0; i-- {
			if s.Combine == sweeppb.Sweep_ZIP {
				set[i] = lists[i][k]
				continue
			}
			set[i], rest = lists[i][rest%len(lists[i])], rest/len(lists[i])
		}
		sets = append(sets, set)
	}
	return names, sets, nil
}

func tableSets(s *sweeppb.Sweep, name func(string) error, names *[]string) ([]string, [][]Value, error) {
	if len(s.Parameter) > 0 {
		return nil, nil, errors.New("row: there are parameters as well")
	}
	if len(s.Row) > MaxRuns {
		return nil, nil, fmt.Errorf("row: more than %d", MaxRuns)
	}
	for _, c := range s.Row[0].Cell {
		if err := name(c.Name); err != nil {
			return nil, nil, err
		}
	}
	if n := len(*names); n == 0 || n > MaxParameters {
		return nil, nil, fmt.Errorf("row 1: %d cells, 1 to %d are possible", n, MaxParameters)
	}
	var sets [][]Value
	for r, row := range s.Row {
		set := make([]Value, len(*names))
		for _, c := range row.Cell {
			i := slices.Index(*names, c.Name)
			if i < 0 || set[i] != nil {
				return nil, nil, fmt.Errorf("row %d: cell %q is not in the first row, or there twice", r+1, c.Name)
			}
			v, err := canonical(c.Value)
			if err != nil {
				return nil, nil, fmt.Errorf("row %d: cell %s: %w", r+1, c.Name, err)
			}
			set[i] = v
		}
		if i := slices.Index(set, nil); i >= 0 {
			return nil, nil, fmt.Errorf("row %d: no cell %s", r+1, (*names)[i])
		}
		sets = append(sets, set)
	}
	return *names, sets, nil
}

func (x *Expansion) isSkipped(skips []*expr, vals []Value) (bool, error) {
	for _, e := range skips {
		v, err := e.eval(x.Parameters, vals, &x.stepsLeft, func(map[string]Value) (string, error) { return "", errors.New("run: not in skip_if") })
		b, ok := v.(bool)
		if err == nil && !ok {
			err = fmt.Errorf("%s: %v is neither True nor False", e.location, v)
		}
		if err != nil {
			return false, fmt.Errorf("run %s: %w", x.Describe(vals), err)
		}
		if b {
			return true, nil
		}
	}
	return false, nil
}

// fieldExpr is an expression for a field.
type fieldExpr struct {
	field protoreflect.FieldDescriptor
	expr  *expr
}

func compileFields(s *sweeppb.Sweep, names []string) ([]fieldExpr, error) {
	all := s.Job.ProtoReflect().Descriptor().Fields()
	var out []fieldExpr
	for _, set := range s.Set {
		f := all.ByName(protoreflect.Name(set.Field))
		if f == nil {
			return nil, fmt.Errorf("set: a job has no field %q", set.Field)
		}
		if s.Job.ProtoReflect().Has(f) || slices.ContainsFunc(out, func(o fieldExpr) bool { return o.field == f }) {
			return nil, fmt.Errorf("set %s: the field is given twice", set.Field)
		}
		e, err := compile("set "+set.Field, set.Is, names)
		if err != nil {
			return nil, err
		}
		out = append(out, fieldExpr{f, e})
	}
	return out, nil
}

// buildJob makes a run's job of the template and the expressions.
func (x *Expansion) buildJob(r *Run, template *sweeppb.Job, fields []fieldExpr, known map[string]int) error {
	r.Job = map[string]any{"name_id": r.ID, "gpus": 0.0, "bank_s": 0.0, "bank_cost_s": 0.0, "pull_gb": 0.0, "one_zone": false, "scatter": false, "borrowed": false}
	template.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if f.IsList() {
			list := []any{}
			for i := range v.List().Len() {
				list = append(list, v.List().Get(i).String())
			}
			r.Job[string(f.Name())] = list
		} else {
			r.Job[string(f.Name())] = v.Interface()
		}
		return true
	})
	runID := func(kw map[string]Value) (string, error) {
		vals := make([]Value, len(x.Parameters))
		for i, n := range x.Parameters {
			v, ok := kw[n]
			if !ok {
				v = r.Values[i] // what is not named is as in this run
			}
			vals[i] = v
			delete(kw, n)
		}
		for n := range kw {
			return "", fmt.Errorf("run: %q is no parameter", n)
		}
		id := RunID(x.ID, x.Parameters, vals)
		if _, ok := known[id]; !ok {
			return "", fmt.Errorf("run: there is no run %s", x.Describe(vals))
		}
		return id, nil
	}
	for _, f := range fields {
		v, err := f.expr.eval(x.Parameters, r.Values, &x.stepsLeft, runID)
		if err != nil {
			return err
		}
		if v == nil {
			continue // left out
		}
		if v, err = convertTo(f.field, v); err != nil {
			return fmt.Errorf("%s: %w", f.expr.location, err)
		}
		r.Job[string(f.field.Name())] = v
	}
	return nil
}

// convertTo checks that a value is of a field's kind.
func convertTo(f protoreflect.FieldDescriptor, v any) (any, error) {
	switch {
	case f.IsList():
		l, ok := v.([]any)
		if !ok {
			return nil, fmt.Errorf("%v is no list", v)
		}
		for _, x := range l {
			if _, ok := x.(string); !ok {
				return nil, fmt.Errorf("%v in the list is no text", x)
			}
		}
		return l, nil
	case f.Kind() == protoreflect.StringKind:
		if _, ok := v.(string); !ok {
			return nil, fmt.Errorf("%v is no text", v)
		}
	case f.Kind() == protoreflect.BoolKind:
		if _, ok := v.(bool); !ok {
			return nil, fmt.Errorf("%v is neither True nor False", v)
		}
	default:
		switch n := v.(type) {
		case int64:
			return float64(n), nil
		case float64:
		default:
			return nil, fmt.Errorf("%v is no number", v)
		}
	}
	return v, nil
}

// sortByDependencies brings the runs into one in which each comes after those that it awaits,
// and otherwise leaves them as they are.
func (x *Expansion) sortByDependencies(known map[string]int) error {
	const begun, done = 1, 2
	state := make([]int, len(x.Runs))
	var out []Run
	for first := range x.Runs {
		todo := []int{first} // no recursion: a chain may have all runs
		for len(todo) > 0 {
			i := todo[len(todo)-1]
			if state[i] == done {
				todo = todo[:len(todo)-1]
				continue
			}
			more := false
			for _, a := range dependenciesOf(x.Runs[i].Job) {
				k, own := known[a]
				if !own || state[k] == done {
					continue
				}
				if state[k] == begun || k == i {
					return fmt.Errorf("run %s: awaits: it waits for itself, by way of %s", x.Describe(x.Runs[i].Values), x.Describe(x.Runs[k].Values))
				}
				todo, more = append(todo, k), true
			}
			state[i] = begun
			if !more {
				state[i] = done
				todo = todo[:len(todo)-1]
				out = append(out, x.Runs[i])
			}
		}
	}
	x.Runs = out
	return nil
}

func dependenciesOf(job map[string]any) []string {
	l, _ := job["awaits"].([]any)
	out := make([]string, 0, len(l))
	for _, a := range l {
		if s, ok := a.(string); ok {
			out = append(out, s)
		}
	}
	return out
}
