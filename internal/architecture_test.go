// Package internal_test keeps the shape of the program: which package may import
// which, and that what the pages say of the code is there.
package internal_test

import (
	"errors"
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	modulePath = "github.com/zinclb/zinclb/"
	moduleRoot = ".."
)

// allowedImports has, for each package of the module, the packages of the module that
// it imports outside its tests. A package that is missing here, an import that is
// missing in its row and one that is no longer there all fail.
//
// The rules behind the rows:
//   - the core decides and does no input or output: of the module it imports only its
//     own parts and the types of the settings;
//   - the parts of the core know nothing of the core, and of each other only what
//     stands below them: kv and jobstate, fleet, sched;
//   - api, cloud, store and peer translate to and from the core's messages, each for
//     one interface, and do not know each other; node puts them together;
//   - the wire types of messages between controllers are seen by peer alone;
//   - the controller knows nothing of the emulator. Of the emulator, environment and
//     history know the protocols from the outside (wire), and not the controller;
//   - golden, rapidtest and casestest are for tests.
var allowedImports = map[string][]string{
	"cmd/zinclb": {
		"internal/api", "internal/config", "internal/core", "internal/httpwire", "internal/node",
		"internal/sweep", "internal/sweep/sweeppb",
	},
	"cmd/zinclb-emulator": {
		"internal/config", "internal/emulator/capacity", "internal/emulator/cases", "internal/emulator/environment",
		"internal/emulator/faultcombos", "internal/emulator/history", "internal/emulator/outages",
		"internal/emulator/partitions", "internal/emulator/scale", "internal/emulator/scenario",
		"internal/emulator/soak", "internal/emulator/sockets", "internal/emulator/workerproc", "internal/jsonlines",
	},
	"cmd/zinclb-experiment": {"internal/config", "internal/experiment", "internal/jsonlines"},
	"cmd/zinclb-load":       {"internal/emulator/scenario", "internal/jsonlines", "internal/load"},

	// Interfaces to the outside, each on its own, and what puts them together.
	"internal/api":                {"internal/core", "internal/core/jobstate", "internal/httpwire", "internal/sweep", "internal/sweep/sweeppb"},
	"internal/cloud":              {"internal/core", "internal/core/fleet", "internal/core/jobstate", "internal/httpwire"},
	"internal/store":              {"internal/core", "internal/core/kv", "internal/httpwire"},
	"internal/peer":               {"internal/core", "internal/peer/internal/wire"},
	"internal/peer/internal/wire": {"internal/core", "internal/core/connectivity", "internal/core/fleet", "internal/core/jobstate", "internal/core/readlease", "internal/core/replica", "internal/core/upgrade"},
	"internal/metrics":            {"internal/core"},
	"internal/node": {
		"internal/api", "internal/cloud", "internal/config", "internal/core", "internal/core/replica",
		"internal/httpwire", "internal/metrics", "internal/peer", "internal/store",
	},

	// What stands below them.
	"internal/config":            {"internal/config/operatorpb"},
	"internal/config/operatorpb": {},
	"internal/httpwire":          {},
	"internal/jsonlines":         {},
	"internal/sweep":             {"internal/sweep/sweeppb"},
	"internal/sweep/sweeppb":     {},

	// The core and its parts.
	"internal/core": {
		"internal/config", "internal/core/connectivity", "internal/core/fleet", "internal/core/jobstate",
		"internal/core/kv", "internal/core/ratelimit", "internal/core/readlease", "internal/core/replica",
		"internal/core/sched", "internal/core/sharedread", "internal/core/txn", "internal/core/upgrade",
	},
	"internal/core/connectivity": {},
	"internal/core/fleet":        {"internal/core/jobstate"},
	"internal/core/jobstate":     {},
	"internal/core/kv":           {},
	"internal/core/ratelimit":    {},
	"internal/core/readlease":    {},
	"internal/core/replica":      {"internal/core/kv"},
	"internal/core/sched":        {"internal/core/fleet", "internal/core/jobstate"},
	"internal/core/sharedread":   {},
	"internal/core/txn":          {"internal/core/kv"},
	"internal/core/upgrade":      {},

	// The emulator: the outside as a model, and what runs controllers in it.
	"internal/emulator/wire":                {},
	"internal/emulator/history":             {"internal/emulator/wire"},
	"internal/emulator/environment":         {"internal/config", "internal/emulator/history", "internal/emulator/wire"},
	"internal/emulator/scenario/scenariopb": {},
	"internal/emulator/scenario": {
		"internal/api", "internal/config", "internal/core/jobstate", "internal/emulator/environment",
		"internal/emulator/history", "internal/emulator/scenario/scenariopb", "internal/emulator/wire",
	},
	"internal/emulator/faketime": {
		"internal/api", "internal/cloud", "internal/config", "internal/core", "internal/core/replica",
		"internal/core/upgrade", "internal/emulator/environment", "internal/emulator/history", "internal/emulator/wire", "internal/peer",
		"internal/store",
	},
	"internal/emulator/cases": {
		"internal/config", "internal/emulator/environment", "internal/emulator/history", "internal/emulator/wire",
	},
	"internal/emulator/partitions": {
		"internal/config", "internal/emulator/cases", "internal/emulator/environment", "internal/emulator/faketime",
		"internal/emulator/history", "internal/emulator/wire",
	},
	"internal/emulator/outages": {
		"internal/config", "internal/core", "internal/emulator/cases", "internal/emulator/environment", "internal/emulator/faketime",
		"internal/emulator/history", "internal/emulator/wire",
	},
	"internal/emulator/faultcombos": {
		"internal/config", "internal/core", "internal/emulator/cases", "internal/emulator/environment", "internal/emulator/faketime",
		"internal/emulator/history", "internal/emulator/wire",
	},
	"internal/emulator/soak": {
		"internal/config", "internal/emulator/cases", "internal/emulator/environment", "internal/emulator/faketime",
		"internal/emulator/wire",
	},
	"internal/emulator/meter": {},
	"internal/emulator/sockets": {
		"internal/config", "internal/emulator/environment", "internal/emulator/history", "internal/emulator/meter",
		"internal/emulator/scenario", "internal/emulator/wire",
	},
	"internal/emulator/workerproc": {
		"internal/emulator/environment", "internal/emulator/history", "internal/emulator/meter", "internal/emulator/sockets",
	},
	"internal/emulator/scale": {
		"internal/config", "internal/core", "internal/emulator/environment", "internal/emulator/history",
		"internal/emulator/meter", "internal/emulator/sockets", "internal/emulator/wire", "internal/emulator/workerproc",
	},
	"internal/emulator/capacity": {"internal/emulator/scale"},

	// Measuring.
	"internal/experiment": {
		"internal/config", "internal/emulator/faketime", "internal/emulator/history", "internal/emulator/scenario",
		"internal/emulator/sockets", "internal/jsonlines",
	},
	"internal/load": {"internal/emulator/wire"},

	// For tests.
	"internal/emulator/cases/casestest": {"internal/emulator/cases"},
	"internal/golden":                   {"internal/httpwire"},
	"internal/rapidtest":                {},
}

// TestImports compares the imports of all packages with the table. It reads the
// sources itself: a result that came from another process, such as go list, would be
// taken from the cache of tests after a change.
func TestImports(t *testing.T) {
	found := map[string][]string{}
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() || entry.Name() == "testdata" {
				return err
			}
			return addImports(found, path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		allowed, ok := allowedImports[name]
		if !ok {
			t.Errorf("%s has no row in the table", name)
			continue
		}
		for _, imported := range found[name] {
			if !slices.Contains(allowed, imported) {
				t.Errorf("%s imports %s", name, imported)
			}
		}
		for _, imported := range allowed {
			if !slices.Contains(found[name], imported) {
				t.Errorf("%s does not import %s any more: take it out of the table", name, imported)
			}
		}
	}
	for name := range allowedImports {
		if _, ok := found[name]; !ok {
			t.Errorf("the table has %s, which is not there", name)
		}
	}
}

// pureTrees are the directories whose code decides and computes without input, output
// or a clock: with the same input they do the same, which replaying a seed relies on.
var pureTrees = []string{
	"internal/core",
	"internal/emulator/environment",
	"internal/emulator/history",
	"internal/emulator/wire",
	"internal/sweep",
}

// pureImports are the packages from outside the module that they may import.
var pureImports = []string{
	"bytes", "cmp", "container/heap", "encoding/base64", "encoding/binary", "encoding/csv", "encoding/hex",
	"encoding/json", "errors", "fmt", "hash", "hash/fnv", "iter", "log/slog", "maps", "math", "math/rand/v2",
	"net/http", "net/netip", "regexp", "slices", "strconv", "strings",
	"io", // of sweep: the end of a table

	"github.com/HdrHistogram/hdrhistogram-go", "github.com/RoaringBitmap/roaring/v2",
	"github.com/anishathalye/porcupine", "github.com/benbjohnson/immutable",
	"github.com/bits-and-blooms/bitset", "github.com/gaissmai/bart", "github.com/tidwall/btree",
	"github.com/zeebo/blake3", "github.com/zeebo/xxh3", "go.starlark.net/starlark", "go.starlark.net/syntax",
	"google.golang.org/protobuf/encoding/prototext", "google.golang.org/protobuf/reflect/protoreflect",
}

// impureUses are what these packages have that writes, or that draws from a source
// which no seed decides.
var impureUses = map[string]*regexp.Regexp{
	"fmt":  regexp.MustCompile(`^(Print|Scan)`),
	"slog": regexp.MustCompile(`^(Debug|Info|Warn|Error|Log$|LogAttrs|Default|SetDefault)`),
	"rand": regexp.MustCompile(`^(Int|Uint|Float|Perm|Shuffle|N$|NormFloat|ExpFloat)`),
}

// constantsOnly are packages that are imported for constants alone.
var constantsOnly = map[string]*regexp.Regexp{
	"http": regexp.MustCompile(`^(Status|Method)[A-Z]\w*$`),
}

// TestPure keeps input, output, clocks and unseeded draws out of the pure packages.
func TestPure(t *testing.T) {
	files := 0
	for _, tree := range pureTrees {
		err := filepath.WalkDir(filepath.Join(moduleRoot, tree), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			files++
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, fault := range impurities(file) {
				t.Errorf("%s %s", path, fault)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < len(pureTrees) {
		t.Fatalf("%d files", files)
	}
}

// impurities says what a file imports or uses that a pure package may not.
func impurities(file *ast.File) []string {
	var faults []string
	for _, spec := range file.Imports {
		name := strings.Trim(spec.Path.Value, `"`)
		if !strings.HasPrefix(name, modulePath) && !slices.Contains(pureImports, name) {
			faults = append(faults, "imports "+name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := selector.X.(*ast.Ident); ok {
			impure, constant := impureUses[pkg.Name], constantsOnly[pkg.Name]
			if impure != nil && impure.MatchString(selector.Sel.Name) || constant != nil && !constant.MatchString(selector.Sel.Name) {
				faults = append(faults, "uses "+pkg.Name+"."+selector.Sel.Name)
			}
		}
		return true
	})
	return faults
}

// TestImpurities shows that each kind is found.
func TestImpurities(t *testing.T) {
	const source = `package p
import ("fmt"; "log/slog"; "math/rand/v2"; "net/http"; "time"; "slices")
func f(l *slog.Logger, r *rand.Rand) {
	l.Info("fine")
	_ = r.IntN(3)
	_ = fmt.Sprint(slices.Max([]int{1}))
	fmt.Println(time.Now(), rand.IntN(3))
	slog.Info("to the default logger")
	_, _ = http.StatusOK, http.StatusText(200)
	http.Get("")
}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"imports time", "uses fmt.Println", "uses rand.IntN", "uses slog.Info", "uses http.Get"}
	if got := impurities(file); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// addImports adds what the package in a directory imports of the module, if there is
// a package that is not of tests alone.
func addImports(found map[string][]string, dir string) error {
	pkg, err := build.ImportDir(dir, 0)
	var none *build.NoGoError
	if errors.As(err, &none) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(pkg.GoFiles) == 0 {
		return nil
	}
	name, err := filepath.Rel(moduleRoot, dir)
	if err != nil {
		return err
	}
	name = filepath.ToSlash(name)
	found[name] = []string{}
	for _, imported := range pkg.Imports {
		if inModule, ok := strings.CutPrefix(imported, modulePath); ok {
			found[name] = append(found[name], inModule)
		}
	}
	return nil
}
