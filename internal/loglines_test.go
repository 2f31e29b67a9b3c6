package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// controllerTrees are the directories with the code of a controller.
var controllerTrees = []string{
	"cmd/zinclb", "internal/api", "internal/cloud", "internal/config", "internal/core", "internal/httpwire",
	"internal/metrics", "internal/node", "internal/peer", "internal/store", "internal/sweep",
}

// logRow matches a row of the table of log lines in docs/operations.md: the quoted text of
// the line and its level.
var logRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (\\w+) \\|")

// TestLogLines checks that docs/operations.md lists exactly the log lines that a controller
// writes at level info and above.
func TestLogLines(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(moduleRoot, "docs", "operations.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(text), "\n## Log lines\n")
	if !ok {
		t.Fatal("docs/operations.md: got no section \"Log lines\", want one")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[logLine]bool{}
	for _, match := range logRow.FindAllStringSubmatch(section, -1) {
		line := logLine{text: match[1], level: match[2]}
		if listed[line] {
			t.Errorf("docs/operations.md lists a log line twice: %v", line)
		}
		listed[line] = true
	}
	logged := loggedLines(t)
	for line, at := range logged {
		if !listed[line] {
			t.Errorf("%s: docs/operations.md does not list the log line %v", at, line)
		}
	}
	for line := range listed {
		if logged[line] == "" {
			t.Errorf("docs/operations.md lists a log line that is never logged: %v", line)
		}
	}
}

// logLine is the fixed text of a log call and its level in lower case.
type logLine struct{ text, level string }

// loggedLines returns all log lines at level info and above, with the position of a call for
// each.
func loggedLines(t *testing.T) map[logLine]string {
	t.Helper()
	lines := map[logLine]string{}
	for _, tree := range controllerTrees {
		err := filepath.WalkDir(filepath.Join(moduleRoot, tree), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok {
					return true
				}
				level, ok := logLevel(call)
				if !ok {
					return true
				}
				at := files.Position(call.Pos()).String()
				text, ok := call.Args[0].(*ast.BasicLit)
				if !ok {
					t.Errorf("%s: the text of the log line is not a literal", at)
					return true
				}
				line, err := strconv.Unquote(text.Value)
				if err != nil {
					t.Errorf("%s: text of the log line: %v", at, err)
				}
				if first := line[:1]; first != strings.ToLower(first) {
					t.Errorf("%s: log line begins with a capital letter: %s", at, line)
				}
				lines[logLine{line, level}] = at
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return lines
}

// logLevel returns the level of a call that logs at level info or above: a call of Info, Warn
// or Error with arguments, of package slog or of a logger.
func logLevel(call *ast.CallExpr) (level string, ok bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	level = strings.ToLower(selector.Sel.Name)
	switch level {
	case "info", "warn", "error":
	default:
		return "", false
	}
	switch x := selector.X.(type) {
	case *ast.Ident:
		ok = x.Name == "slog" || x.Name == "log" || x.Name == "logger"
	case *ast.SelectorExpr:
		ok = x.Sel.Name == "log" || x.Sel.Name == "logger"
	default:
		ok = false
	}
	return level, ok
}
