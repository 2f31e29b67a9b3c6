package sweep

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Expressions are Starlark without whatever could run long or grow: no loops,
// no functions of one's own, few methods, and products that are checked. So an
// expression takes time by its length, and the bounds below are a second fence.
const (
	maxExprBytes   = 2000 // bytes
	maxSteps       = 20_000
	maxTotalSteps  = 10_000_000 // steps of all expressions for all runs
	maxProductSize = 64 << 10   // bytes or items that a product of text or list may have
)

var (
	builtins = []string{"True", "False", "None", "min", "max", "abs", "int", "float", "str", "bool", "len", "round", "run", "run_of"}
	methods  = []string{"lower", "upper", "strip", "startswith", "endswith", "format"}
)

// expr is an expression that was found to be harmless.
type expr struct {
	location string
	// program puts the value of the expression into the global named result.
	program *starlark.Program
}

const resultName = "__result"

var dialect = &syntax.FileOptions{}

// compile reads an expression over the names of parameters.
func compile(where, text string, names []string) (*expr, error) {
	fail := func(err error) (*expr, error) { return nil, fmt.Errorf("%s: %w", where, err) }
	if len(text) > maxExprBytes {
		return fail(fmt.Errorf("an expression of more than %d bytes", maxExprBytes))
	}
	tree, err := dialect.ParseExpr(where, text, 0)
	if err != nil {
		return fail(err)
	}
	var bad error
	refuse := func(what string) {
		if bad == nil {
			bad = errors.New(what + " can't be used in an expression")
		}
	}
	// Names of methods and of arguments are no values.
	skip := map[*syntax.Ident]bool{}
	syntax.Walk(tree, func(n syntax.Node) bool {
		switch n := n.(type) {
		case *syntax.Comprehension:
			refuse("a loop")
		case *syntax.LambdaExpr:
			refuse("a function")
		case *syntax.DotExpr:
			skip[n.Name] = true
			if !slices.Contains(methods, n.Name.Name) {
				refuse("the method " + n.Name.Name)
			}
		case *syntax.CallExpr:
			for _, a := range n.Args {
				if b, ok := a.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
					if id, ok := b.X.(*syntax.Ident); ok {
						skip[id] = true
					}
				}
				if u, ok := a.(*syntax.UnaryExpr); ok && (u.Op == syntax.STAR || u.Op == syntax.STARSTAR) {
					refuse("an unpacked argument")
				}
			}
		case *syntax.BinaryExpr:
			if n.Op == syntax.LTLT {
				refuse("a shift")
			}
			if n.Op == syntax.PERCENT {
				if lit, ok := n.X.(*syntax.Literal); ok && lit.Token == syntax.STRING {
					refuse("% on a text")
				}
			}
		case *syntax.Ident:
			if !skip[n] && !slices.Contains(builtins, n.Name) && !slices.Contains(names, n.Name) {
				refuse(fmt.Sprintf("%q, which is no parameter,", n.Name))
			}
		}
		return bad == nil
	})
	if bad != nil {
		return fail(bad)
	}
	file := &syntax.File{Path: where, Options: dialect, Stmts: []syntax.Stmt{
		&syntax.AssignStmt{Op: syntax.EQ, LHS: &syntax.Ident{Name: resultName}, RHS: guardProducts(tree)},
	}}
	program, err := starlark.FileProgram(file, func(name string) bool {
		return name == productName || slices.Contains(builtins, name) || slices.Contains(names, name)
	})
	if err != nil {
		return fail(err)
	}
	return &expr{where, program}, nil
}

// productName is the name under which products are evaluated.
const productName = "__product"

// guardProducts puts a call of product in the place of every product.
func guardProducts(x syntax.Expr) syntax.Expr {
	switch n := x.(type) {
	case *syntax.BinaryExpr:
		n.X, n.Y = guardProducts(n.X), guardProducts(n.Y)
		if n.Op == syntax.STAR {
			return &syntax.CallExpr{Fn: &syntax.Ident{NamePos: n.OpPos, Name: productName}, Args: []syntax.Expr{n.X, n.Y}, Lparen: n.OpPos, Rparen: n.OpPos}
		}
	case *syntax.UnaryExpr:
		if n.X != nil {
			n.X = guardProducts(n.X)
		}
	case *syntax.ParenExpr:
		n.X = guardProducts(n.X)
	case *syntax.CondExpr:
		n.Cond, n.True, n.False = guardProducts(n.Cond), guardProducts(n.True), guardProducts(n.False)
	case *syntax.CallExpr:
		n.Fn = guardProducts(n.Fn)
		for i, a := range n.Args {
			if b, ok := a.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
				b.Y = guardProducts(b.Y)
				continue
			}
			n.Args[i] = guardProducts(a)
		}
	case *syntax.DotExpr:
		n.X = guardProducts(n.X)
	case *syntax.IndexExpr:
		n.X, n.Y = guardProducts(n.X), guardProducts(n.Y)
	case *syntax.SliceExpr:
		n.X = guardProducts(n.X)
		for _, p := range []*syntax.Expr{&n.Lo, &n.Hi, &n.Step} {
			if *p != nil {
				*p = guardProducts(*p)
			}
		}
	case *syntax.ListExpr:
		for i := range n.List {
			n.List[i] = guardProducts(n.List[i])
		}
	case *syntax.TupleExpr:
		for i := range n.List {
			n.List[i] = guardProducts(n.List[i])
		}
	case *syntax.DictExpr:
		for _, e := range n.List {
			if d, ok := e.(*syntax.DictEntry); ok {
				d.Key, d.Value = guardProducts(d.Key), guardProducts(d.Value)
			}
		}
	}
	return x
}

// product multiplies, and refuses texts and lists that would grow too long.
func checkedProduct(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	a, b := args[0], args[1]
	for _, p := range [2][2]starlark.Value{{a, b}, {b, a}} {
		if s, ok := p[0].(starlark.Sequence); ok {
			if n, err := starlark.AsInt32(p[1]); err != nil || n > 0 && s.Len() > maxProductSize/n {
				return nil, errors.New("a text or list would grow too long")
			}
		} else if s, ok := p[0].(starlark.String); ok {
			if n, err := starlark.AsInt32(p[1]); err != nil || n > 0 && s.Len() > maxProductSize/n {
				return nil, errors.New("a text or list would grow too long")
			}
		}
	}
	return starlark.Binary(syntax.STAR, a, b)
}

// roundHalfAway rounds half away from zero, to a whole number.
func roundHalfAway(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
	var x starlark.Value
	if err := starlark.UnpackPositionalArgs(b.Name(), args, kw, 1, &x); err != nil {
		return nil, err
	}
	f, ok := starlark.AsFloat(x)
	if !ok || math.IsNaN(f) || math.Abs(f) >= 1<<53 {
		return nil, errors.New("round: no number")
	}
	return starlark.MakeInt64(int64(math.Round(f))), nil
}

// eval evaluates with a run's values; runID names runs of the same sweep.
// left is how many steps are left to all expressions.
func (e *expr) eval(names []string, vals []Value, left *uint64, runID func(kw map[string]Value) (string, error)) (any, error) {
	fail := func(err error) (any, error) { return nil, fmt.Errorf("%s: %w", e.location, err) }
	env := starlark.StringDict{
		productName: starlark.NewBuiltin(productName, checkedProduct),
		"round":     starlark.NewBuiltin("round", roundHalfAway),
		"run": starlark.NewBuiltin("run", func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
			if len(args) > 0 {
				return nil, errors.New("run: values are given by their names")
			}
			set := map[string]Value{}
			for _, p := range kw {
				v, err := fromStarlark(p[1])
				if err != nil {
					return nil, err
				}
				set[string(p[0].(starlark.String))] = v
			}
			id, err := runID(set)
			return starlark.String(id), err
		}),
	}
	env["run_of"] = starlark.NewBuiltin("run_of", func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
		of, ok := starlark.String(""), len(args) == 1
		if ok {
			of, ok = args[0].(starlark.String)
		}
		if !ok || !idPattern.MatchString(string(of)) {
			return nil, errors.New("run_of: takes the id of a sweep, and then values by their names")
		}
		var ns []string
		var vs []Value
		for _, p := range kw {
			v, err := fromStarlark(p[1])
			if err != nil {
				return nil, err
			}
			ns, vs = append(ns, string(p[0].(starlark.String))), append(vs, v)
		}
		return starlark.String(RunID(string(of), ns, vs)), nil
	})
	for i, n := range names {
		switch v := vals[i].(type) {
		case int64:
			env[n] = starlark.MakeInt64(v)
		case float64:
			env[n] = starlark.Float(v)
		case string:
			env[n] = starlark.String(v)
		case bool:
			env[n] = starlark.Bool(v)
		}
	}
	thread := &starlark.Thread{Name: e.location, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	for _, name := range builtins {
		if v := starlark.Universe[name]; v != nil && env[name] == nil {
			env[name] = v
		}
	}
	globals, err := e.program.Init(thread, env)
	if err != nil {
		return fail(err)
	}
	// A call of a builtin is a step, and so is each of the operations.
	steps := thread.ExecutionSteps() + 1
	if steps > *left {
		return fail(fmt.Errorf("all expressions together take more than %d steps", maxTotalSteps))
	}
	*left -= steps
	out, err := fromStarlark(globals[resultName])
	if err != nil {
		return fail(err)
	}
	return out, nil
}

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
		if len(v) > MaxText {
			return nil, fmt.Errorf("a text of more than %d bytes", MaxText)
		}
		return string(v), nil
	case starlark.Bool:
		return bool(v), nil
	case starlark.NoneType:
		return nil, nil
	case *starlark.List:
		out := []any{}
		for i := range v.Len() {
			x, err := fromStarlark(v.Index(i))
			if err != nil {
				return nil, err
			}
			out = append(out, x)
		}
		return out, nil
	}
	return nil, fmt.Errorf("a %s, which is neither a number, a text, a list nor true or false", v.Type())
}
