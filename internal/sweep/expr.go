package sweep

import (
	"errors"
	"fmt"
	"slices"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Expressions are Starlark without whatever could run long or grow: no loops,
// no functions of one's own, few methods, and products that are checked. So an
// expression takes time by its length, and the bounds below are a second fence.
const (
	maxExprBytes   = 2000
	maxSteps       = 20_000
	maxTotalSteps  = 10_000_000 // steps of all expressions for all runs
	maxProductSize = 64 << 10   // bytes or items that a product of text or list may have
)

// Names in a compiled expression that nobody can write in one.
const (
	resultName  = "__result"  // of the global with the value
	productName = "__product" // of the function that evaluates products
)

var (
	builtins = []string{"True", "False", "None", "min", "max", "abs", "int", "float", "str", "bool", "len", "round", "run", "run_of"}
	methods  = []string{"lower", "upper", "strip", "startswith", "endswith", "format"}

	dialect = &syntax.FileOptions{}
)

// expr is an expression that was found to be harmless.
type expr struct {
	location string
	// program puts the value of the expression into the global named resultName.
	program *starlark.Program
}

// compile compiles an expression over the names of parameters.
func compile(location, text string, names []string) (*expr, error) {
	program, err := compileProgram(location, text, names)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", location, err)
	}
	return &expr{location: location, program: program}, nil
}

func compileProgram(location, text string, names []string) (*starlark.Program, error) {
	if len(text) > maxExprBytes {
		return nil, fmt.Errorf("an expression of more than %d bytes", maxExprBytes)
	}
	tree, err := dialect.ParseExpr(location, text, 0)
	if err != nil {
		return nil, err
	}
	if err := checkHarmless(tree, names); err != nil {
		return nil, err
	}
	assignment := &syntax.AssignStmt{
		Op:  syntax.EQ,
		LHS: &syntax.Ident{Name: resultName},
		RHS: guardProducts(tree),
	}
	file := &syntax.File{Path: location, Options: dialect, Stmts: []syntax.Stmt{assignment}}
	return starlark.FileProgram(file, func(name string) bool {
		return name == productName || slices.Contains(builtins, name) || slices.Contains(names, name)
	})
}

// checkHarmless refuses an expression with anything but what is allowed.
func checkHarmless(tree syntax.Expr, names []string) error {
	c := &checker{names: names, notValues: map[*syntax.Ident]bool{}}
	syntax.Walk(tree, c.visit)
	return c.err
}

// checker looks for what an expression may not have.
type checker struct {
	names []string
	// notValues are the names of methods and of arguments.
	notValues map[*syntax.Ident]bool
	err       error
}

// refuse keeps the first thing that is not allowed.
func (c *checker) refuse(what string) {
	if c.err == nil {
		c.err = errors.New(what + " can't be used in an expression")
	}
}

// visit checks a node, and says whether to go on with those below it.
func (c *checker) visit(node syntax.Node) bool {
	switch node := node.(type) {
	case *syntax.Comprehension:
		c.refuse("a loop")
	case *syntax.LambdaExpr:
		c.refuse("a function")
	case *syntax.DotExpr:
		c.notValues[node.Name] = true
		if !slices.Contains(methods, node.Name.Name) {
			c.refuse("the method " + node.Name.Name)
		}
	case *syntax.CallExpr:
		c.visitArguments(node.Args)
	case *syntax.BinaryExpr:
		c.visitOperator(node)
	case *syntax.Ident:
		if !c.notValues[node] && !slices.Contains(builtins, node.Name) && !slices.Contains(c.names, node.Name) {
			c.refuse(fmt.Sprintf("%q, which is no parameter,", node.Name))
		}
	}
	return c.err == nil
}

func (c *checker) visitArguments(arguments []syntax.Expr) {
	for _, argument := range arguments {
		switch argument := argument.(type) {
		case *syntax.BinaryExpr:
			name, ok := argument.X.(*syntax.Ident)
			if ok && argument.Op == syntax.EQ {
				c.notValues[name] = true
			}
		case *syntax.UnaryExpr:
			if argument.Op == syntax.STAR || argument.Op == syntax.STARSTAR {
				c.refuse("an unpacked argument")
			}
		}
	}
}

func (c *checker) visitOperator(operation *syntax.BinaryExpr) {
	switch operation.Op {
	case syntax.LTLT:
		c.refuse("a shift")
	case syntax.PERCENT:
		literal, ok := operation.X.(*syntax.Literal)
		if ok && literal.Token == syntax.STRING {
			c.refuse("% on a text")
		}
	}
}

// guardProducts replaces every product by a call that checks its size.
func guardProducts(x syntax.Expr) syntax.Expr {
	switch node := x.(type) {
	case *syntax.BinaryExpr:
		node.X, node.Y = guardProducts(node.X), guardProducts(node.Y)
		if node.Op == syntax.STAR {
			return &syntax.CallExpr{
				Fn:     &syntax.Ident{NamePos: node.OpPos, Name: productName},
				Args:   []syntax.Expr{node.X, node.Y},
				Lparen: node.OpPos,
				Rparen: node.OpPos,
			}
		}
	case *syntax.UnaryExpr:
		guardOptional(&node.X)
	case *syntax.ParenExpr:
		node.X = guardProducts(node.X)
	case *syntax.CondExpr:
		node.Cond, node.True, node.False = guardProducts(node.Cond), guardProducts(node.True), guardProducts(node.False)
	case *syntax.CallExpr:
		node.Fn = guardProducts(node.Fn)
		guardArguments(node.Args)
	case *syntax.DotExpr:
		node.X = guardProducts(node.X)
	case *syntax.IndexExpr:
		node.X, node.Y = guardProducts(node.X), guardProducts(node.Y)
	case *syntax.SliceExpr:
		node.X = guardProducts(node.X)
		guardOptional(&node.Lo, &node.Hi, &node.Step)
	case *syntax.ListExpr:
		guardAll(node.List)
	case *syntax.TupleExpr:
		guardAll(node.List)
	case *syntax.DictExpr:
		for _, entry := range node.List {
			if entry, ok := entry.(*syntax.DictEntry); ok {
				entry.Key, entry.Value = guardProducts(entry.Key), guardProducts(entry.Value)
			}
		}
	}
	return x
}

func guardAll(list []syntax.Expr) {
	for i := range list {
		list[i] = guardProducts(list[i])
	}
}

// guardOptional guards the parts of an expression that are there.
func guardOptional(parts ...*syntax.Expr) {
	for _, part := range parts {
		if *part != nil {
			*part = guardProducts(*part)
		}
	}
}

// guardArguments guards arguments, of which the names of some are not expressions.
func guardArguments(arguments []syntax.Expr) {
	for i, argument := range arguments {
		if named, ok := argument.(*syntax.BinaryExpr); ok && named.Op == syntax.EQ {
			named.Y = guardProducts(named.Y)
			continue
		}
		arguments[i] = guardProducts(argument)
	}
}
