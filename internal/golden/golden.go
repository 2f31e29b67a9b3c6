// Package golden compares the output of the program with golden files: recorded output of an
// earlier commit, in files under testdata. Only tests import it.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var record = flag.Bool("record", false, "rewrites the golden files before comparing with them")

// Modes of created testdata directories and golden files.
const (
	dirMode  = 0o755
	fileMode = 0o600
)

// Compare reports each line in which a text differs from a golden file as a test error. The
// two are compared byte by byte.
func Compare(tb testing.TB, file, got string) {
	tb.Helper()
	if *record {
		if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), fileMode); err != nil {
			tb.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		tb.Fatal(err)
	}
	want := string(b)
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if lineAt(gotLines, i) != lineAt(wantLines, i) {
			tb.Errorf("%s:%d:\ngot  %s\nwant %s", file, i+1, lineAt(gotLines, i), lineAt(wantLines, i))
		}
	}
}

// lineAt returns line i, or "(no line)" if there are fewer lines.
func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(no line)"
	}
	return lines[i]
}

// Unset returns the paths of all exported fields in a value, at any depth, that are zero, and
// of all slices, maps and pointers that are empty or nil. Tests that record a value with
// every field set use it to check that new fields are recorded too.
func Unset(value any) []string {
	return unsetPaths(reflect.ValueOf(value), "")
}

// unsetPaths is Unset for a value whose path is path.
func unsetPaths(v reflect.Value, path string) (paths []string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return []string{path}
		}
		return unsetPaths(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				paths = append(paths, unsetPaths(v.Field(i), path+"."+field.Name)...)
			}
		}
		return paths
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		return unsetElements(v, path)
	default:
		if v.IsZero() {
			return []string{path}
		}
		return nil
	}
}

// unsetElements returns the unset paths in the elements of a slice or a map of structs.
// Elements of other types may be zero.
func unsetElements(v reflect.Value, path string) (paths []string) {
	if v.Type().Elem().Kind() != reflect.Struct {
		return nil
	}
	for key, element := range v.Seq2() {
		paths = append(paths, unsetPaths(element, fmt.Sprintf("%s[%v]", path, key))...)
	}
	return paths
}
