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

// controllerTrees are the directories whose code a controller runs.
var controllerTrees = []string{
	"cmd/zinclb", "internal/api", "internal/cloud", "internal/config", "internal/core", "internal/httpwire",
	"internal/metrics", "internal/node", "internal/peer", "internal/store", "internal/sweep",
}

// logRow is a row of the page's table of log lines: the line, fixed and quoted, and its level.
var logRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (\\w+) \\|")

// TestLogLines compares the log lines that a controller writes at level info and above
// with those that the operators' page lists.
func TestLogLines(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(moduleRoot, "docs", "operations.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(text), "\n## Log lines\n")
	if !ok {
		t.Fatal("docs/operations.md has no section on log lines")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[logLine]bool{}
	for _, match := range logRow.FindAllStringSubmatch(section, -1) {
		line := logLine{text: match[1], level: match[2]}
		if listed[line] {
			t.Errorf("listed twice: %v", line)
		}
		listed[line] = true
	}
	logged := loggedLines(t)
	for line, at := range logged {
		if !listed[line] {
			t.Errorf("%s: not listed: %v", at, line)
		}
	}
	for line := range listed {
		if logged[line] == "" {
			t.Errorf("listed and never logged: %v", line)
		}
	}
}

// logLine is a log call's fixed text and its level in lower case.
type logLine struct{ text, level string }

// loggedLines has all log calls at level info and above, with a place of each.
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
					t.Errorf("%s: the text of a log line is not fixed", at)
					return true
				}
				line, err := strconv.Unquote(text.Value)
				if err != nil {
					t.Errorf("%s: %v", at, err)
				}
				if first := line[:1]; first != strings.ToLower(first) {
					t.Errorf("%s: begins with a capital: %s", at, line)
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

// logLevel is the level of a call that logs at level info or above: Info, Warn or Error
// with a text, of slog or of a logger.
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
