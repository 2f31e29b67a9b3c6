// Package internal_test checks the structure of the program, which packages may import which, and
// that the documentation names only code that exists and lists all packages and log lines.
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

// allowedImports lists, for each package of the module, the packages of the module that it
// imports outside its tests. The test fails for a package without an entry, an import that is
// missing from its entry, and an entry for an import that no longer exists.
//
// The table follows these rules:
//   - core makes decisions and does no input or output. Of the module it imports only its
//     own subpackages and the types of the settings.
//   - The subpackages of core do not import core, and of each other only lower layers: kv
//     and jobstate, then fleet, then sched.
//   - api, cloud, store and peer each translate between one interface and the core's
//     messages, and do not import each other; node connects them.
//   - Only peer imports the wire types of messages between controllers.
//   - The controller does not import the emulator. In the emulator, history imports only the
//     types of the protocols (wire), and environment only these, history and the types of the
//     settings (config).
//   - golden, rapidtest and casestest are used by tests only.
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

	// External interfaces, which are independent of each other, and node, which connects
	// them.
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

	// Packages that the external interfaces use.
	"internal/config":            {"internal/config/operatorpb"},
	"internal/config/operatorpb": {},
	"internal/httpwire":          {},
	"internal/jsonlines":         {},
	"internal/sweep":             {"internal/sweep/sweeppb"},
	"internal/sweep/sweeppb":     {},

	// The core and its subpackages.
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

	// The emulator: a model of the environment, and the programs that run controllers in it.
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

	// Experiments and load generation.
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

// TestImports compares the imports of all packages with allowedImports. It reads the source
// files itself, because the test cache does not notice changes in files that another process,
// such as go list, reads.
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
			t.Fatalf("read the imports of the packages in %s: got error %v, want none", top, err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		allowed, ok := allowedImports[name]
		if !ok {
			t.Errorf("package %s has no entry in allowedImports", name)
			continue
		}
		for _, imported := range found[name] {
			if !slices.Contains(allowed, imported) {
				t.Errorf("package %s imports %s, which allowedImports does not list", name, imported)
			}
		}
		for _, imported := range allowed {
			if !slices.Contains(found[name], imported) {
				t.Errorf("package %s no longer imports %s: remove it from allowedImports", name, imported)
			}
		}
	}
	for name := range allowedImports {
		if _, ok := found[name]; !ok {
			t.Errorf("allowedImports has an entry for %s, which does not exist", name)
		}
	}
}

// pureTrees are the directories whose code does no input or output and reads no clock. The
// same input gives the same result, which replaying a run by its seed relies on.
var pureTrees = []string{
	"internal/core",
	"internal/emulator/environment",
	"internal/emulator/history",
	"internal/emulator/wire",
	"internal/sweep",
}

// pureImports are the packages from outside the module that pure packages may import.
var pureImports = []string{
	"bytes", "cmp", "container/heap", "encoding/base64", "encoding/binary", "encoding/csv", "encoding/hex",
	"encoding/json", "errors", "fmt", "hash", "hash/fnv", "iter", "log/slog", "maps", "math", "math/rand/v2",
	"net/http", "net/netip", "regexp", "slices", "strconv", "strings",
	"io", // io.EOF in sweep, the end of a file's content

	"github.com/HdrHistogram/hdrhistogram-go", "github.com/RoaringBitmap/roaring/v2",
	"github.com/anishathalye/porcupine", "github.com/benbjohnson/immutable",
	"github.com/bits-and-blooms/bitset", "github.com/gaissmai/bart", "github.com/tidwall/btree",
	"github.com/zeebo/blake3", "github.com/zeebo/xxh3", "go.starlark.net/starlark", "go.starlark.net/syntax",
	"google.golang.org/protobuf/encoding/prototext", "google.golang.org/protobuf/reflect/protoreflect",
}

// impureUses has, for packages in pureImports, a pattern for the names of the functions that do
// input or output, or that draw random numbers from a source without a seed.
var impureUses = map[string]*regexp.Regexp{
	"fmt":  regexp.MustCompile(`^(Print|Scan)`),
	"slog": regexp.MustCompile(`^(Debug|Info|Warn|Error|Log$|LogAttrs|Default|SetDefault)`),
	"rand": regexp.MustCompile(`^(Int|Uint|Float|Perm|Shuffle|N$|NormFloat|ExpFloat)`),
}

// constantsOnly has the packages of which only constants may be used, with a pattern for the
// names of these constants.
var constantsOnly = map[string]*regexp.Regexp{
	"http": regexp.MustCompile(`^(Status|Method)[A-Z]\w*$`),
}

// TestPure checks that pure packages do no input or output, read no clock and draw no unseeded
// random numbers.
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
			for _, impurity := range findImpurities(file) {
				t.Errorf("%s %s, want only what a pure package may import and use", path, impurity)
			}
			return nil
		})
		if err != nil {
			t.Fatalf("read the source files in %s: got error %v, want none", tree, err)
		}
	}
	if files < len(pureTrees) {
		t.Fatalf("got %d source files, want at least %d", files, len(pureTrees))
	}
}

// findImpurities lists the imports and uses of a file that are forbidden in a pure package.
func findImpurities(file *ast.File) []string {
	var impurities []string
	for _, spec := range file.Imports {
		name := strings.Trim(spec.Path.Value, `"`)
		if !strings.HasPrefix(name, modulePath) && !slices.Contains(pureImports, name) {
			impurities = append(impurities, "imports "+name)
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
				impurities = append(impurities, "uses "+pkg.Name+"."+selector.Sel.Name)
			}
		}
		return true
	})
	return impurities
}

// TestImpurities checks that findImpurities finds each kind of forbidden import and use.
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
		t.Fatalf("parse the source: got error %v, want none", err)
	}
	want := []string{"imports time", "uses fmt.Println", "uses rand.IntN", "uses slog.Info", "uses http.Get"}
	if got := findImpurities(file); !slices.Equal(got, want) {
		t.Errorf("impurities: got %q, want %q", got, want)
	}
}

// addImports adds the packages of the module that the package in a directory imports, unless
// the directory has no package or only tests.
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
