// Package golden helps tests to compare what the program writes with what an
// earlier commit wrote, which is kept in files under testdata.
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

var record = flag.Bool("record", false, "writes the recorded files anew, in place of comparing with them")

// Modes of a testdata directory and a recorded file that are made.
const (
	directoryMode = 0o755
	fileMode      = 0o600
)

// Compare compares a text with a recorded file, byte by byte.
func Compare(tb testing.TB, file, got string) {
	tb.Helper()
	if *record {
		if err := os.MkdirAll(filepath.Dir(file), directoryMode); err != nil {
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
		if line(gotLines, i) != line(wantLines, i) {
			tb.Errorf("%s:%d:\ngot  %s\nwant %s", file, i+1, line(gotLines, i), line(wantLines, i))
		}
	}
}

// line is a line of a text, or says that the text has none there.
func line(lines []string, i int) string {
	if i >= len(lines) {
		return "(no line)"
	}
	return lines[i]
}

// Unset lists the exported fields below a value that are zero, and slices, maps
// and pointers below it that are empty. A test that records a value with every
// field set checks with it that a new field is recorded too.
func Unset(value any) []string {
	return unset(reflect.ValueOf(value), "")
}

// unset is Unset for a value at a path.
func unset(v reflect.Value, path string) (paths []string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return []string{path}
		}
		return unset(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				paths = append(paths, unset(v.Field(i), path+"."+field.Name)...)
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

// unsetElements looks into the structs of a slice or a map; plain elements may
// be zero.
func unsetElements(v reflect.Value, path string) (paths []string) {
	if v.Type().Elem().Kind() != reflect.Struct {
		return nil
	}
	for key, element := range v.Seq2() {
		paths = append(paths, unset(element, fmt.Sprintf("%s[%v]", path, key))...)
	}
	return paths
}
