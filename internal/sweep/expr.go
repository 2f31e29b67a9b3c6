package sweep

import (
	"errors"
	"fmt"
	"slices"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Expressions are written in a subset of Starlark that excludes everything that could run
// long or use much memory: there are no loops and no user-defined functions, only a few
// methods, and the size of products is checked. The run time of an expression therefore
// depends on its length only, and the limits below are a second safeguard.
const (
	maxExprBytes   = 2000
	maxSteps       = 20_000
	maxTotalSteps  = 10_000_000 // steps of all expressions for all runs
	maxProductSize = 64 << 10   // bytes or items of a repeated string or list
)

// Names that only the compiler adds to expressions; users cannot use them.
const (
	resultName  = "__result"  // global variable that holds the value
	productName = "__product" // function that evaluates products
)

var (
	builtins = []string{"True", "False", "None", "min", "max", "abs", "int", "float", "str", "bool", "len", "round", "run", "run_of"}
	methods  = []string{"lower", "upper", "strip", "startswith", "endswith", "format"}

	dialect = &syntax.FileOptions{}
)

// expr is a compiled expression that uses only the allowed subset of Starlark.
type expr struct {
	// location names the expression in errors, such as "set hands" or "skip_if 1".
	location string
	// program stores the value of the expression in the global named resultName.
	program *starlark.Program
}

// compile compiles an expression that may use the parameters with the given names.
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
	if err := checkAllowed(tree, names); err != nil {
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

// checkAllowed returns an error if an expression uses anything outside the allowed subset
// of Starlark.
func checkAllowed(tree syntax.Expr, names []string) error {
	c := &checker{names: names, notValues: map[*syntax.Ident]bool{}}
	syntax.Walk(tree, c.visit)
	return c.err
}

// checker searches an expression for constructs that are not allowed.
type checker struct {
	names []string
	// notValues are the identifiers that name methods or keyword arguments, not values.
	notValues map[*syntax.Ident]bool
	err       error
}

// refuse records an error for a construct that is not allowed, unless there is one already.
func (c *checker) refuse(what string) {
	if c.err == nil {
		c.err = errors.New(what + " can't be used in an expression")
	}
}

// visit checks a node and reports whether to visit its children.
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

// guardProducts replaces every product by a call of checkedProduct, which checks its size.
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

// guardOptional applies guardProducts to those parts of an expression that are present.
func guardOptional(parts ...*syntax.Expr) {
	for _, part := range parts {
		if *part != nil {
			*part = guardProducts(*part)
		}
	}
}

// guardArguments applies guardProducts to the arguments of a call. The name of a keyword
// argument is not an expression and stays as it is.
func guardArguments(arguments []syntax.Expr) {
	for i, argument := range arguments {
		if named, ok := argument.(*syntax.BinaryExpr); ok && named.Op == syntax.EQ {
			named.Y = guardProducts(named.Y)
			continue
		}
		arguments[i] = guardProducts(argument)
	}
}
