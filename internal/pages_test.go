package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// checkedPages are the pages that describe the code as it is. Pages that are records
// of what was measured or changed keep the names of their time.
var checkedPages = []string{
	"CONTRIBUTING.md",
	"README.md",
	"docs/CAPACITY.md",
	"docs/architecture.md",
	"docs/connectivity.md",
	"docs/design.md",
	"docs/emulator.md",
	"docs/fault-combinations.md",
	"docs/operations.md",
	"docs/scale.md",
	"docs/sweeps.md",
	"docs/upgrade.md",
}

// notOfTheCode are quoted words of the pages that look like names of the code and are
// settings, or names of libraries.
var notOfTheCode = map[string]bool{
	"errors.As":       true,
	"errors.Is":       true,
	"net.Conn":        true,
	"state.next":      true,
	"state.rps":       true,
	"state.write_rps": true,
	"time.Duration":   true,
}

var (
	quoted     = regexp.MustCompile("`([^`\n]+)`")
	sourcePath = regexp.MustCompile(`^(internal|cmd|deploy|docs|scenarios)/[\w./-]*$`)
	inTree     = regexp.MustCompile(`^(core|emulator)/`)
	goFile     = regexp.MustCompile(`^[\w/.-]+\.go$`)
	qualified  = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*){1,2}$`)
	document   = regexp.MustCompile(`\.(md|json|toml|txtpb|proto|sh|txt|csv|jsonl)$`)
	testName   = regexp.MustCompile(`^Test[A-Z]\w*$`)
)

// TestPages finds on the pages each path, each name of the form package.Name,
// Type.member or package.Type.member, and each test that is not there.
func TestPages(t *testing.T) {
	names := declaredNames(t)
	for _, page := range checkedPages {
		text, err := os.ReadFile(filepath.Join(moduleRoot, page))
		if err != nil {
			t.Error(err)
			continue
		}
		for _, match := range quoted.FindAllStringSubmatch(string(text), -1) {
			if fault := checkQuoted(match[1], names); fault != "" {
				t.Errorf("%s: `%s`: %s", page, match[1], fault)
			}
		}
	}
}

// TestArchitectureIsWhole finds packages, and files of the core, that the page on the
// architecture leaves out.
func TestArchitectureIsWhole(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(moduleRoot, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(moduleRoot, "internal", "core", "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	var names []string
	for name := range allowedImports {
		if !strings.HasSuffix(name, "pb") { // protoc writes these
			names = append(names, name)
		}
	}
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			names = append(names, filepath.Base(file))
		}
	}
	for _, name := range names {
		if !strings.Contains(string(text), "`"+name+"`") {
			t.Errorf("docs/architecture.md does not name %s", name)
		}
	}
}

// checkQuoted says what is wrong with a quoted word of a page, or "".
func checkQuoted(word string, names map[string]bool) string {
	switch {
	case notOfTheCode[word]:
	case sourcePath.MatchString(word):
		if _, err := os.Stat(filepath.Join(moduleRoot, word)); err != nil {
			return "there is no such path"
		}
	case inTree.MatchString(word):
		return "a package or file has to be named with its whole path"
	case goFile.MatchString(word):
		if _, err := os.Stat(filepath.Join("core", word)); err != nil {
			return "there is no such file in the core; others have to be named with their whole path"
		}
	case document.MatchString(word):
	case testName.MatchString(word), qualified.MatchString(word):
		if !names[word] {
			return "there is no such name"
		}
	}
	return ""
}

// TestCheckQuoted shows that each kind of wrong word is found.
func TestCheckQuoted(t *testing.T) {
	names := map[string]bool{"elector.campaign": true, "TestPages": true}
	tests := []struct {
		word  string
		fault bool
	}{
		{"elector.campaign", false},
		{"elector.gone", true},
		{"core.elector.campaign", true},
		{"TestPages", false},
		{"TestGone", true},
		{"internal/core", false},
		{"internal/gone", true},
		{"internal/core/core.go", false},
		{"core.go", false},
		{"node.go", true},
		{"core/sched", true},
		{"state.next", false},
		{"design.md", false},
		{"lease_s", false},
	}
	for _, test := range tests {
		if fault := checkQuoted(test.word, names); (fault != "") != test.fault {
			t.Errorf("%s: %q", test.word, fault)
		}
	}
}

// declaredNames has all names that the module declares: package.Name, Type.member,
// package.Type.member, and tests.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(filepath.Join(moduleRoot, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			addNames(names, file.Name.Name, strings.HasSuffix(path, "_test.go"), declaration)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func addNames(names map[string]bool, pkg string, ofTest bool, declaration ast.Decl) {
	if ofTest {
		if f, ok := declaration.(*ast.FuncDecl); ok && f.Recv == nil {
			names[f.Name.Name] = true
		}
		return
	}
	member := func(typ, name string) {
		names[typ+"."+name] = true
		names[pkg+"."+typ+"."+name] = true
	}
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			names[pkg+"."+d.Name.Name] = true
		} else {
			member(receiverType(d.Recv.List[0].Type), d.Name.Name)
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range s.Names {
					names[pkg+"."+name.Name] = true
				}
			case *ast.TypeSpec:
				names[pkg+"."+s.Name.Name] = true
				if structure, ok := s.Type.(*ast.StructType); ok {
					for _, field := range structure.Fields.List {
						for _, name := range field.Names {
							member(s.Name.Name, name.Name)
						}
					}
				}
			}
		}
	}
}

// receiverType is the name of a receiver's type, without pointer and parameters.
func receiverType(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return receiverType(e.X)
	case *ast.IndexExpr:
		return receiverType(e.X)
	case *ast.IndexListExpr:
		return receiverType(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}
