package core

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestNoIO checks that package core and its subpackages import nothing that does input or
// output, reads clocks or runs concurrently.
func TestNoIO(t *testing.T) {
	banned := []string{"net", "os", "io", "time", "syscall", "net/http", "net/rpc", "sync", "context"}
	files := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imported := range file.Imports {
			if name := strings.Trim(imported.Path.Value, `"`); slices.Contains(banned, name) {
				t.Errorf("%s imports %s, want no import of it", path, name)
			}
		}
		return nil
	})
	if err != nil || files < 8 {
		t.Fatalf("checked %d files with error %v, want at least 8 files and no error", files, err)
	}
}
