package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/zinclb/zinclb/internal/emulator/scale"
)

// TestFit checks that a fit finds the slopes that the points were computed from, and leaves out
// factors that do not vary.
func TestFit(t *testing.T) {
	costOf := func(l Load) float64 { return 2 + 0.01*l.Workers + 0.5*l.Starts + 3*l.Controllers }
	var points []Point
	for _, workers := range []float64{400, 800, 1600} {
		for _, starts := range []float64{10, 100} {
			for _, controllers := range []float64{3, 12} {
				l := Load{Workers: workers, Running: 100, Starts: starts * workers / 400, Teams: 380, Zones: 15, Controllers: controllers}
				points = append(points, Point{l, costOf(l)})
			}
		}
	}
	m, err := Fit(points)
	if err != nil {
		t.Fatal(err)
	}
	for k, want := range []float64{0.01, math.NaN(), 0.5, math.NaN(), math.NaN(), 3} {
		if got := m.Slopes[k]; math.IsNaN(want) != math.IsNaN(got) || math.Abs(got-want) > 1e-9 {
			t.Errorf("slope per %s: got %v, want %v", factorNames[k], got, want)
		}
	}
	if m.Residual > 1e-9 || m.R2 < 0.999 || math.Abs(m.At(PlanLoad)-costOf(PlanLoad)) > 1e-6 {
		t.Errorf("got %+v with a cost of %v at the plan's load; want residual 0, R2 1, cost %v", m, m.At(PlanLoad), costOf(PlanLoad))
	}
	points[0].Value += 5
	if m, _ := Fit(points); m.Residual < 1 {
		t.Errorf("residual with a point that is off by 5: got %v, want at least 1", m.Residual)
	}
	if _, err := Fit(points[:2]); err == nil {
		t.Error("fit of three slopes to two points: got no error, want one")
	}
	if l := FitLine([]Point{{Load{Workers: 1}, 3}, {Load{Workers: 3}, 7}}); l.At(10) != 21 {
		t.Errorf("FitLine: got %v at 10 workers, want 21; line %+v", l.At(10), l)
	}
}

// TestReplaceTables checks that tables are put between their markers, that replacing them again
// changes nothing, and that markers and tables that do not match are errors.
func TestReplaceTables(t *testing.T) {
	page := "a\n<!-- table x -->old<!-- end of table -->\nb\n"
	once, err := ReplaceTables(page, map[string]string{"x": "| 1 |\n"})
	if err != nil {
		t.Fatal(err)
	}
	if want := "a\n<!-- table x -->\n| 1 |\n<!-- end of table -->\nb\n"; once != want {
		t.Errorf("got %q, want %q", once, want)
	}
	if again, err := ReplaceTables(once, map[string]string{"x": "| 1 |\n"}); err != nil || again != once {
		t.Errorf("second replacement: got %q, error %v; want %q", again, err, once)
	}
	for _, tc := range []struct {
		page   string
		tables map[string]string
		want   string
	}{
		{page, nil, `no table "x"`},
		{page, map[string]string{"x": "", "y": ""}, `no markers for the table "y"`},
		{"<!-- table x -->", map[string]string{"x": ""}, "has no end marker"},
	} {
		if _, err := ReplaceTables(tc.page, tc.tables); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("page %q: got error %v, want one with %q", tc.page, err, tc.want)
		}
	}
}

// TestUpdatePage checks that the tables of the capacity page are those that the stored figures
// give.
func TestUpdatePage(t *testing.T) {
	changed, err := UpdatePage("../../../docs/CAPACITY.md", "../../../docs/capacity", true)
	if err != nil || changed {
		t.Errorf("UpdatePage: got changed %v, error %v; want an unchanged page: run zinclb-emulator capacity", changed, err)
	}
}

// TestLoadRuns checks that runs that the machine limited are left out, and that errors name the
// prefix without runs, or the file that cannot be read.
func TestLoadRuns(t *testing.T) {
	dir := t.TempDir()
	for name, f := range map[string]scale.Figures{"after-b": {Plan: scale.Plan{Workers: 800}}, "after-a": {Plan: scale.Plan{Workers: 400}}, "after-c": {MachineLimited: "late"}} {
		if err := f.Save(filepath.Join(dir, name+".json")); err != nil {
			t.Fatal(err)
		}
	}
	runs, err := LoadRuns(dir, CurrentPrefix)
	if err != nil || len(runs) != 2 || runs[0].Name != "after-a" {
		t.Errorf("LoadRuns: got runs %v, error %v; want two runs, after-a first", runs, err)
	}
	if _, err := LoadRuns(dir, BaselinePrefix); err == nil || !strings.Contains(err.Error(), "before-*.json") {
		t.Errorf("LoadRuns without baseline runs: got error %v, want one with before-*.json", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "after-d.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadRuns(dir, CurrentPrefix); err == nil || !strings.Contains(err.Error(), "after-d.json") {
		t.Errorf("LoadRuns with an invalid file: got error %v, want one with after-d.json", err)
	}
}
