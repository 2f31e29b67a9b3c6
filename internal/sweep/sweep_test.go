package sweep

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

// parseAndExpand parses and expands the text of a sweep. files has the contents of
// the files that it can refer to, by name.
func parseAndExpand(text string, files map[string]string) (*Expansion, error) {
	s, err := Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	err = Resolve(s, func(name string) ([]byte, error) {
		if f, ok := files[name]; ok {
			return []byte(f), nil
		}
		return nil, os.ErrNotExist
	})
	if err != nil {
		return nil, err
	}
	return Expand(s)
}

// describeRuns formats the values and the set indexes of all runs of an expansion.
func describeRuns(x *Expansion) string {
	var out []string
	for _, r := range x.Runs {
		out = append(out, x.Describe(r.Values)+fmt.Sprint(r.SetIndexes))
	}
	return strings.Join(out, " ")
}

// TestExpand checks the runs of valid sweeps, and the errors for invalid ones.
func TestExpand(t *testing.T) {
	files := map[string]string{"p.csv": "x,name\n1,a\n2.5,\"b, c\"\n", "p.jsonl": `{"x": 1, "ok": true}` + "\n" + `{"x": 7, "ok": false}`, "odd.csv": "x\n1\n2,3\n"}
	header := `id: "s" job { herd: "h" } `
	cases := []struct{ name, text, want, wantErr string }{
		{
			name: "product, the last parameter varies fastest", text: `parameter { name: "a" value { int: 1 } value { int: 2 } } parameter { name: "b" value { text: "x" } value { text: "y" } }`,
			want: `{a: 1, b: "x"}[0] {a: 1, b: "y"}[1] {a: 2, b: "x"}[2] {a: 2, b: "y"}[3]`,
		},
		{
			name: "zip", text: `combine: ZIP parameter { name: "a" value { int: 1 } value { int: 2 } } parameter { name: "b" value { flag: true } value { flag: false } }`,
			want: `{a: 1, b: true}[0] {a: 2, b: false}[1]`,
		},
		{name: "zip of lists of different lengths", text: `combine: ZIP parameter { name: "a" value { int: 1 } value { int: 2 } } parameter { name: "b" value { int: 1 } }`, wantErr: "parameter b: 1 values, and a has 2"},
		{
			name: "table", text: `row { cell { name: "a" value { int: 1 } } cell { name: "b" value { int: 2 } } } row { cell { name: "b" value { int: 4 } } cell { name: "a" value { int: 3 } } }`,
			want: `{a: 1, b: 2}[0] {a: 3, b: 4}[1]`,
		},
		{name: "table with a missing cell", text: `row { cell { name: "a" value { int: 1 } } cell { name: "b" value { int: 2 } } } row { cell { name: "b" value { int: 4 } } }`, wantErr: "row 2: no cell a"},
		{name: "range", text: `parameter { name: "a" range { from: 0.1 to: 0.5 step: 0.2 } }`, want: `{a: 0.1}[0] {a: 0.30000000000000004}[1] {a: 0.5}[2]`},
		{name: "descending range", text: `parameter { name: "a" range { from: 3 to: 1 step: -1 } }`, want: `{a: 3}[0] {a: 2}[1] {a: 1}[2]`},
		{name: "empty range", text: `parameter { name: "a" range { from: 3 to: 1 } }`, wantErr: "parameter a: range from 3 to 1"},
		{name: "infinite range", text: `parameter { name: "a" range { from: 0 to: inf } }`, wantErr: "parameter a: range"},
		{name: "CSV file", text: `parameter { name: "x" file: "p.csv" } parameter { name: "n" file: "p.csv" column: "name" } combine: ZIP`, want: `{x: 1, n: "a"}[0] {x: 2.5, n: "b, c"}[1]`},
		{name: "JSON Lines file", text: `parameter { name: "x" file: "p.jsonl" } parameter { name: "ok" file: "p.jsonl" } combine: ZIP`, want: `{x: 1, ok: true}[0] {x: 7, ok: false}[1]`},
		{name: "missing file", text: `parameter { name: "x" file: "q.csv" }`, wantErr: "parameter x: file q.csv: file does not exist"},
		{name: "missing column", text: `parameter { name: "y" file: "p.csv" }`, wantErr: `no column "y"`},
		{name: "file with an invalid line", text: `parameter { name: "x" file: "odd.csv" }`, wantErr: "parameter x: file odd.csv"},
		{name: "skip_if excludes sets", text: `parameter { name: "a" range { from: 1 to: 4 } } skip_if: "a % 2 == 0" skip_if: "a > 2"`, want: `{a: 1}[0]`},
		{name: "skip_if excludes all sets", text: `parameter { name: "a" range { from: 1 to: 4 } } skip_if: "a > 0"`, wantErr: "skip_if: no set of values is left"},
		{name: "skip_if is not a boolean", text: `parameter { name: "a" value { int: 1 } } skip_if: "a"`, wantErr: "run {a: 1}: skip_if 1: 1 is neither True nor False"},
		{name: "1 and 1.0 are the same value", text: `parameter { name: "a" value { int: 1 } value { real: 1.0 } }`, wantErr: "sets 1 and 2 have the same values {a: 1}; duplicates: MERGE"},
		{name: "0 and -0.0 are the same value", text: `parameter { name: "a" value { int: 0 } value { real: -0.0 } } duplicates: MERGE`, want: `{a: 0}[0 1]`},
		{name: "number 1 and string 1 differ", text: `parameter { name: "a" value { int: 1 } value { text: "1" } value { text: " 1" } }`, want: `{a: 1}[0] {a: "1"}[1] {a: " 1"}[2]`},
		{name: "merged runs list the indexes of all their sets", text: `parameter { name: "a" value { int: 1 } value { int: 2 } value { real: 1 } value { real: 2 } value { int: 1 } } duplicates: MERGE`, want: `{a: 1}[0 2 4] {a: 2}[1 3]`},
		{name: "NaN", text: `parameter { name: "a" value { real: nan } }`, wantErr: "parameter a: value 1: not a number"},
		{name: "empty value", text: `parameter { name: "a" value { } }`, wantErr: "parameter a: value 1: a value without"},
		{name: "string too long", text: `parameter { name: "a" value { text: "` + strings.Repeat("x", MaxText+1) + `" } }`, wantErr: "parameter a: value 1: a text of more than"},
		{name: "too many runs", text: `parameter { name: "a" range { from: 1 to: 200 } } parameter { name: "b" range { from: 1 to: 51 } }`, wantErr: "parameter b: more than 10000 sets"},
		{name: "no parameters", text: ``, wantErr: "parameter: 0 of them"},
		{name: "parameter declared twice", text: `parameter { name: "a" value { int: 1 } } parameter { name: "a" value { int: 1 } }`, wantErr: "parameter a: declared twice"},
		{name: "invalid parameter name", text: `parameter { name: "a b" value { int: 1 } }`, wantErr: `parameter "a b"`},
		{name: "parameter name of a builtin", text: `parameter { name: "min" value { int: 1 } }`, wantErr: "parameter min: the name is taken"},
		{name: "unknown field in the file", text: `parametr { }`, wantErr: "parametr"},
		{name: "pending out of range", text: `pending: 0 parameter { name: "a" value { int: 1 } }`, wantErr: "pending: 0"},
		{name: "job field given twice", text: `set { field: "herd" is: "1" } parameter { name: "a" value { int: 1 } }`, wantErr: "set herd: the field is given twice"},
		{name: "unknown job field", text: `set { field: "hrd" is: "1" } parameter { name: "a" value { int: 1 } }`, wantErr: `no field "hrd"`},
		{name: "run awaits itself", text: `set { field: "awaits" is: "[run()]" } parameter { name: "a" value { int: 1 } }`, wantErr: "run {a: 1}: awaits: it waits for itself"},
		{name: "two runs await each other", text: `set { field: "awaits" is: "[run(a=3-a)]" } parameter { name: "a" value { int: 1 } value { int: 2 } }`, wantErr: "awaits: it waits for itself, by way of"},
		{name: "run awaits a skipped run", text: `set { field: "awaits" is: "[run(a=2)] if a == 1 else []" } parameter { name: "a" value { int: 1 } value { int: 2 } } skip_if: "a == 2"`, wantErr: "run {a: 1}: set awaits: run: there is no run {a: 2}"},
		{name: "runs sorted by dependencies", text: `set { field: "awaits" is: "[run(a=a+1)] if a < 3 else []" } parameter { name: "a" range { from: 1 to: 3 } }`, want: `{a: 3}[2] {a: 2}[1] {a: 1}[0]`},
	}
	for _, tc := range cases {
		x, err := parseAndExpand(header+tc.text, files)
		switch {
		case tc.wantErr != "" && (err == nil || !strings.Contains(err.Error(), tc.wantErr)):
			t.Errorf("%s: got error %v, want one with %q", tc.name, err, tc.wantErr)
		case tc.wantErr == "" && err != nil:
			t.Errorf("%s: got error %v, want none", tc.name, err)
		case tc.wantErr == "" && describeRuns(x) != tc.want:
			t.Errorf("%s: got runs %s, want %s", tc.name, describeRuns(x), tc.want)
		}
	}
}

// TestRunID checks that a run's id depends on the sweep's id and on the names, values and types
// of the parameters, but not on their order. Ids are stored in deployments, so the id of a
// given run must never change.
func TestRunID(t *testing.T) {
	const wantID = "sweep.s.57f18a6cfe5a6cf3077249d5"
	id := RunID("s", []string{"a", "b"}, []Value{int64(1), "x"})
	if id != wantID {
		t.Errorf("run id: got %s, want %s", id, wantID)
	}
	if reordered := RunID("s", []string{"b", "a"}, []Value{"x", int64(1)}); id != reordered {
		t.Errorf("run id with the parameters in another order: got %s, want %s", reordered, id)
	}
	for _, other := range []string{
		RunID("t", []string{"a", "b"}, []Value{int64(1), "x"}),
		RunID("s", []string{"a", "b"}, []Value{"1", "x"}),
		RunID("s", []string{"a", "b"}, []Value{true, "x"}),
		RunID("s", []string{"a", "b"}, []Value{1.5, "x"}),
		RunID("s", []string{"a", "c"}, []Value{int64(1), "x"}),
		RunID("s", []string{"a"}, []Value{"1nx"}),
	} {
		if other == id {
			t.Errorf("run id of a different run: got %s again, want a different id", id)
		}
	}
	x, err := parseAndExpand(`id: "s" job { herd: "h" hands: 2 } set { field: "hands" is: "1" } parameter { name: "a" value { int: 1 } }`, nil)
	if err == nil {
		t.Errorf("hands given twice: got runs %v, want an error", describeRuns(x))
	}
}

// TestExpressions checks the results of allowed expressions, and the errors for expressions
// that are not allowed, could run long or could use much memory.
func TestExpressions(t *testing.T) {
	cases := []struct{ field, is, want, wantErr string }{
		{"hands", "n * 2 + 1", "7", ""},
		{"hands", "2 if big else n", "3", ""},
		{"seedstock", `"img-" + name.upper()`, "img-AB", ""},
		{"seedstock", `"%s" % n`, "", "set seedstock: % on a text"},
		{"seedstock", `"{}-{}".format(name, n)`, "ab-3", ""},
		{"expect_s", "min(n, 2) / 4", "0.5", ""},
		{"expect_s", "round(n / 2)", "2", ""},
		{"scatter", "not big", "true", ""},
		{"paddock", "None", "<nil>", ""},
		{"breeds", `["g8", "g" + str(n)]`, "[g8 g3]", ""},
		{"seedstock", "n", "", "set seedstock: 3 is no text"},
		{"hands", "name", "", "set hands: ab is no number"},
		{"scatter", "1", "", "set scatter: 1 is neither"},
		{"breeds", "[1]", "", "set breeds: 1 in the list is no text"},
		{"hands", "n / 0", "", "set hands: "},
		{"hands", "nn", "", `"nn", which is no parameter,`},
		{"hands", "n +", "", "set hands"},
		{"hands", "[x for x in [1]][0]", "", "a loop"},
		{"hands", "(lambda: 1)()", "", "a function"},
		{"hands", "len(range(1000000000))", "", `"range"`},
		{"hands", "len(list([1]))", "", `"list"`},
		{"hands", "len(name * 1000000000)", "", "would grow too long"},
		{"hands", "len(1000000000 * name)", "", "would grow too long"},
		{"hands", "len([1] * 1000000000)", "", "would grow too long"},
		{"hands", "1 << 500", "", "a shift"},
		{"seedstock", `name.replace("a", "b")`, "", "the method replace"},
		{"seedstock", "name * 600", "", "a text of more than 1024 bytes"},
		{"hands", strings.Repeat("9", 400), "", "too large"},
		{"expect_s", `float("nan")`, "", "not a number"},
		{"expect_s", `float("inf")`, "", "not a number"},
		{"hands", strings.Repeat("n+", 1001) + "n", "", "more than 2000 bytes"},
		{"hands", strings.Repeat("(", 900) + "n" + strings.Repeat(")", 900), "", "excessive nesting"},
		{"hands", "__product(n, n)", "", "which is no parameter"},
		{"hands", "min(*[1, 2])", "", "an unpacked argument"},
		{"hands", "{}[name]", "", "set hands"},
		{"awaits", `[run_of("other", n=1)]`, "[" + RunID("other", []string{"n"}, []Value{int64(1)}) + "]", ""},
		{"awaits", `[run(m=1)]`, "", `run: "m" is no parameter`},
		{"awaits", `[run(1)]`, "", "run: values are given by their names"},
		{"awaits", `[run_of("a b")]`, "", "run_of: takes the id"},
	}
	for _, tc := range cases {
		x, err := parseAndExpand(fmt.Sprintf(`id: "s" job { herd: "h" } set { field: %q is: %q }
			parameter { name: "n" value { int: 3 } } parameter { name: "name" value { text: "ab" } } parameter { name: "big" value { flag: false } }`, tc.field, tc.is), nil)
		switch {
		case tc.wantErr != "" && (err == nil || !strings.Contains(err.Error(), tc.wantErr)):
			t.Errorf("%.60s: got error %v, want one with %q", tc.is, err, tc.wantErr)
		case tc.wantErr == "" && err != nil:
			t.Errorf("%.60s: got error %v, want none", tc.is, err)
		case tc.wantErr == "":
			if got := fmt.Sprint(x.Runs[0].Job[tc.field]); got != tc.want {
				t.Errorf("%.60s: got value %s, want %s", tc.is, got, tc.want)
			}
		}
	}
}

// TestTotalSteps checks that a sweep is refused if its expressions together take too many steps,
// although each is within its own limit, or if it has too many skip_if conditions.
func TestTotalSteps(t *testing.T) {
	big := strings.Repeat("a+", 900) + "a"
	text := `id: "s" job { herd: "h" } parameter { name: "a" range { from: 1 to: 100 } } parameter { name: "b" range { from: 1 to: 100 } }`
	for _, f := range []string{"hands", "vcpus", "expect_s"} {
		text += fmt.Sprintf(` set { field: %q is: %q }`, f, big)
	}
	if _, err := parseAndExpand(text, nil); err == nil || !strings.Contains(err.Error(), "all expressions together") {
		t.Errorf("long expressions: got error %v, want one about the steps of all expressions", err)
	}
	if _, err := parseAndExpand(`id: "s" job { herd: "h" } parameter { name: "a" value { int: 1 } }`+strings.Repeat(` skip_if: "a > 1"`, 33), nil); err == nil || !strings.Contains(err.Error(), "skip_if: 33 of them") {
		t.Errorf("33 conditions: got error %v, want one about their number", err)
	}
}

// TestLargestSweep checks that a sweep of 10,000 runs expands, that all runs have different
// ids, and that the digest is reproducible but differs for a different job.
func TestLargestSweep(t *testing.T) {
	text := `id: "s" job { herd: "h" } set { field: "hands" is: "a % 7 + 1" } parameter { name: "a" range { from: 1 to: 100 } } parameter { name: "b" range { from: 1 to: 100 } }`
	x, err := parseAndExpand(text, nil)
	again, err2 := parseAndExpand(text, nil)
	if err = errors.Join(err, err2); err != nil {
		t.Fatal(err)
	}
	ids := map[string]bool{}
	for i := range x.Runs {
		ids[x.Runs[i].ID] = true
	}
	if len(ids) != MaxRuns || x.Digest != again.Digest {
		t.Errorf("got %d ids, digests %s and %s, want %d ids and equal digests", len(ids), x.Digest, again.Digest, MaxRuns)
	}
	if modified, _ := parseAndExpand(strings.Replace(text, "% 7", "% 6", 1), nil); modified.Digest == x.Digest {
		t.Error("digest with a different job: got the same digest, want a different one")
	}
}

// FuzzExpand checks that no text makes parsing or expansion panic, and that a sweep expands
// to the same runs again after it was encoded for storage.
func FuzzExpand(f *testing.F) {
	f.Add(`id: "s" job { herd: "h" } set { field: "hands" is: "a * 2" } parameter { name: "a" range { from: 1 to: 3 } } skip_if: "a == 2"`)
	f.Add(`id: "s" job { herd: "h" awaits: "x" } row { cell { name: "a" value { real: 1e300 } } } duplicates: MERGE`)
	f.Add(`id: "s" job { } set { field: "awaits" is: "[run(a=1)] if a > 1 else []" } parameter { name: "a" value { int: 1 } value { int: 2 } }`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err != nil {
			return
		}
		x, err := Expand(s)
		if err != nil {
			return
		}
		again, err := Parse(Encode(s))
		if err != nil {
			t.Fatal(err)
		}
		if y, err := Expand(again); err != nil || y.Digest != x.Digest {
			t.Fatalf("expansion after encoding: got error %v, or a digest other than %s", err, x.Digest)
		}
	})
}
