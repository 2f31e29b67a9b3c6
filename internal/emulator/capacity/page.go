package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zinclb/zinclb/internal/emulator/scale"
)

// Prefixes of the names of files with figures: runs of the baseline version and of the current
// version.
const (
	BaselinePrefix = "before-"
	CurrentPrefix  = "after-"
)

// Run has the figures of a run, and the name of their file without its extension.
type Run struct {
	Name string
	*scale.Figures
}

// LoadRuns reads all figures of a directory whose file names begin with a prefix, sorted by the
// size of the deployment, smallest first. It leaves out runs that the machine limited, as their
// figures are not valid. It is an error if no run is left.
func LoadRuns(dir, prefix string) ([]Run, error) {
	paths, err := filepath.Glob(filepath.Join(dir, prefix+"*.json"))
	if err != nil {
		return nil, fmt.Errorf("list runs: %w", err)
	}
	var runs []Run
	for _, path := range paths {
		f, err := scale.Load(path)
		if err != nil {
			return nil, err
		}
		if f.MachineLimited == "" {
			runs = append(runs, Run{strings.TrimSuffix(filepath.Base(path), ".json"), f})
		}
	}
	if len(runs) == 0 {
		return nil, fmt.Errorf("%s: no valid run matches %s*.json", dir, prefix)
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Plan.Workers, b.Plan.Workers), cmp.Compare(a.Plan.Controllers, b.Plan.Controllers), cmp.Compare(a.Name, b.Name))
	})
	return runs, nil
}

// Cost is a measured value of a role that the page shows.
type Cost struct {
	Name, Unit string
	Role       string
	Value      func(r scale.Role) float64
}

// costs are the costs that the page shows and that models are fitted to.
var costs = []Cost{
	{"leader, processor", "core", scale.RoleLeader, func(r scale.Role) float64 { return r.CPU }},
	{"leader, memory", "MB", scale.RoleLeader, func(r scale.Role) float64 { return r.Memory }},
	{"leader, peers", "KB/s", scale.RoleLeader, func(r scale.Role) float64 { return peerKB(r) }},
	{"leader, state service", "requests/s", scale.RoleLeader, func(r scale.Role) float64 { return r.Total("state ").Messages }},
	{"leader, changes", "changes/s", scale.RoleLeader, func(r scale.Role) float64 { return r.Total("state ").Changes }},
	{"stand-by, processor", "core", scale.RoleStandBy, func(r scale.Role) float64 { return r.CPU }},
	{"stand-by, memory", "MB", scale.RoleStandBy, func(r scale.Role) float64 { return r.Memory }},
	{"stand-by, peers", "KB/s", scale.RoleStandBy, func(r scale.Role) float64 { return peerKB(r) }},
	{"stand-by, state service", "requests/s", scale.RoleStandBy, func(r scale.Role) float64 { return r.Total("state ").Messages }},
	{"holder of a partition, processor", "core", scale.RoleBusiest, func(r scale.Role) float64 { return r.CPU }},
	{"holder of a partition, reports", "reports/s", scale.RoleBusiest, func(r scale.Role) float64 { return r.Kinds["report"].Messages }},
	{"state service, requests", "requests/s", scale.RoleState, func(r scale.Role) float64 { return r.Total("state ").Messages }},
	{"state service, changes", "changes/s", scale.RoleState, func(r scale.Role) float64 { return r.Total("state ").Changes }},
	{"state service, bodies", "KB/s", scale.RoleState, func(r scale.Role) float64 {
		t := r.Total("state ")
		return (t.BytesIn + t.BytesOut) / 1000
	}},
	{"a worker, reports", "bytes/s", scale.RoleSharedWorkers, workerBytes},
	{"a worker alone, reports", "bytes/s", scale.RoleDedicated, workerBytes},
	{"a worker alone, processor", "core", scale.RoleDedicated, func(r scale.Role) float64 { return r.CPU }},
	{"a worker alone, memory", "MB", scale.RoleDedicated, func(r scale.Role) float64 { return r.Memory }},
}

// peerKB returns the traffic with other controllers, in both directions, in KB/s.
func peerKB(r scale.Role) float64 {
	peer := r.Kinds["peer"]
	return (peer.BytesIn + peer.BytesOut) / 1000
}

// workerBytes returns the traffic of worker reports, in both directions, in bytes/s.
func workerBytes(r scale.Role) float64 {
	report := r.Kinds["report"]
	return report.BytesIn + report.BytesOut
}

// points returns the cost in the named windows of the runs. Windows that a run lacks, or that lack
// the role of the cost, are left out.
func (c *Cost) points(runs []Run, windows ...string) (points []Point) {
	for _, r := range runs {
		for _, name := range windows {
			w, ok := r.Windows[name]
			if !ok {
				continue
			}
			if role, ok := w.Roles[c.Role]; ok {
				points = append(points, Point{loadOf(r.Figures, w), c.Value(role)})
			}
		}
	}
	return points
}

// formatNumber formats a number with about three significant digits, and NaN as "".
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return ""
	case v == 0:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 0.01:
		return fmt.Sprintf("%.3g", v)
	default:
		return fmt.Sprintf("%.1e", v)
	}
}

// slopesTable returns the table of the models fitted to the costs.
func slopesTable(runs []Run) (string, error) {
	var b strings.Builder
	b.WriteString("| cost | unit | intercept |")
	for _, n := range factorNames {
		fmt.Fprintf(&b, " per %s |", n)
	}
	b.WriteString(" largest residual | R² | at the plan's size |\n|" + strings.Repeat(" --- |", 6+len(factorNames)) + "\n")
	for _, c := range costs {
		m, err := Fit(c.points(runs, scale.WindowPeak, scale.WindowSteady))
		if err != nil {
			return "", fmt.Errorf("%s: %w", c.Name, err)
		}
		fmt.Fprintf(&b, "| %s | %s | %s |", c.Name, c.Unit, formatNumber(m.Intercept))
		for _, s := range m.Slopes {
			fmt.Fprintf(&b, " %s |", formatNumber(s))
		}
		fmt.Fprintf(&b, " %s | %.2f | %s |\n", formatNumber(m.Residual), m.R2, formatNumber(m.At(PlanLoad)))
	}
	return b.String(), nil
}

// planRuns returns the runs without failures and machine faults that have the operators' plan scaled
// to their number of workers.
func planRuns(runs []Run) (matching []Run) {
	for _, r := range runs {
		plan := scale.Default(r.Plan.Workers)
		if len(r.Plan.Failures) == 0 && r.Plan.FaultSpeedup == 0 && r.Plan.Controllers == plan.Controllers && r.Plan.Teams == plan.Teams && r.Plan.Zones == plan.Zones && r.Plan.Running == plan.Running && r.Plan.Starts == plan.Starts {
			matching = append(matching, r)
		}
	}
	return matching
}

// sizesTable returns the table of each cost at each size, with the value that the smaller sizes
// predict for the largest.
func sizesTable(runs []Run, window string) (string, error) {
	matching := planRuns(runs)
	if len(matching) < 3 {
		return "", errors.New("fewer than three sizes were measured")
	}
	largest := matching[len(matching)-1]
	var b strings.Builder
	fmt.Fprintf(&b, "| cost, %s | unit |", window)
	for _, r := range matching {
		fmt.Fprintf(&b, " %d workers |", r.Plan.Workers)
	}
	fmt.Fprintf(&b, " predicted for %d | measured less predicted |\n|%s\n", largest.Plan.Workers, strings.Repeat(" --- |", 4+len(matching)))
	for _, c := range costs {
		points := c.points(matching, window)
		if len(points) != len(matching) {
			continue
		}
		last := points[len(points)-1]
		predicted := FitLine(points[:len(points)-1]).At(last.Load.Workers)
		fmt.Fprintf(&b, "| %s | %s |", c.Name, c.Unit)
		for _, p := range points {
			fmt.Fprintf(&b, " %s |", formatNumber(p.Value))
		}
		fmt.Fprintf(&b, " %s | %s |\n", formatNumber(predicted), formatNumber(last.Value-predicted))
	}
	return b.String(), nil
}

// runsTable returns the table with the overall figures of each run.
func runsTable(runs []Run) string {
	var b strings.Builder
	b.WriteString("| run | workers | controllers | zones | teams | starts/s at the peak | requests/s | refused/s | stand-by's requests/s | urgent within 1.2 s | urgent p95 s | gangs within 30 s | polls p95 ms | timers late p99 ms | breaches |\n|" + strings.Repeat(" --- |", 15) + "\n")
	for _, r := range runs {
		w := r.Windows[scale.WindowPeak]
		state := w.Roles[scale.RoleState].Total("state ")
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %s | %s | %s | %s | %.3f | %s | %.3f | %s | %s | %d |\n", r.Name, r.Plan.Workers, r.Plan.Controllers, r.Plan.Zones, r.Plan.Teams,
			formatNumber(w.Starts), formatNumber(state.Messages), formatNumber(state.Refused), formatNumber(w.Roles[scale.RoleStandBy].Total("state ").Messages),
			r.Urgent.Share, formatNumber(r.Urgent.P95), r.Gangs.Share, formatNumber(r.Poll.P95), formatNumber(r.TimerLateness.P99), len(r.Violations))
	}
	return b.String()
}

// kindsTable returns the table of the state service's requests by kind, for the baseline version and
// the current version, each at the largest size of the plan that was measured.
func kindsTable(before, after []Run) (string, error) {
	baselineRuns, currentRuns := planRuns(before), planRuns(after)
	if len(baselineRuns) == 0 || len(currentRuns) == 0 {
		return "", errors.New("no run has the operators' plan scaled to its number of workers")
	}
	baseline, current := baselineRuns[len(baselineRuns)-1], currentRuns[len(currentRuns)-1]
	var b strings.Builder
	fmt.Fprintf(&b, "| requests/s at the peak, %d and %d workers | leader before | leader after | each stand-by before | each stand-by after | all before | all after | refused before | refused after |\n|%s\n", baseline.Plan.Workers, current.Plan.Workers, strings.Repeat(" --- |", 9))
	kinds := map[string]bool{}
	for _, r := range []Run{baseline, current} {
		for kind := range r.Windows[scale.WindowPeak].Roles[scale.RoleState].Kinds {
			kinds[kind] = true
		}
	}
	names := make([]string, 0, len(kinds))
	for kind := range kinds {
		names = append(names, kind)
	}
	slices.Sort(names)
	rate := func(r Run, role, kind string) scale.Rate {
		return r.Windows[scale.WindowPeak].Roles[role].Kinds[kind]
	}
	for _, kind := range names {
		fmt.Fprintf(&b, "| %s |", strings.TrimPrefix(kind, "state "))
		for _, role := range []string{scale.RoleLeader, scale.RoleStandBy, scale.RoleState} {
			fmt.Fprintf(&b, " %s | %s |", formatNumber(rate(baseline, role, kind).Messages), formatNumber(rate(current, role, kind).Messages))
		}
		fmt.Fprintf(&b, " %s | %s |\n", formatNumber(rate(baseline, scale.RoleState, kind).Refused), formatNumber(rate(current, scale.RoleState, kind).Refused))
	}
	return b.String(), nil
}

// lossesTable returns the table of the runs with failures or machine faults.
func lossesTable(runs []Run) string {
	var b strings.Builder
	b.WriteString("| run | lost | faults of machines, times the plan's | workers with an answer of the next leader | p50 s | p99 s | worst s | urgent within 1.2 s | breaches |\n|" + strings.Repeat(" --- |", 9) + "\n")
	for _, r := range runs {
		if len(r.Plan.Failures) == 0 && r.Plan.FaultSpeedup == 0 {
			continue
		}
		failover := scale.Failover{}
		if len(r.Failovers) > 0 {
			failover = r.Failovers[0]
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %s | %s | %s | %.3f | %d |\n", r.Name, strings.Join(r.Plan.Failures, ", "), formatNumber(r.Plan.FaultSpeedup), failover.Workers, formatNumber(failover.Median), formatNumber(failover.P99), formatNumber(failover.Worst), r.Urgent.Share, len(r.Violations))
	}
	return b.String()
}

// Tables generates the tables of the page from the figures in dir, by name.
func Tables(dir string) (map[string]string, error) {
	before, err := LoadRuns(dir, BaselinePrefix)
	if err != nil {
		return nil, err
	}
	after, err := LoadRuns(dir, CurrentPrefix)
	if err != nil {
		return nil, err
	}
	out := map[string]string{"runs before": runsTable(before), "runs": runsTable(after), "losses": lossesTable(after)}
	for name, build := range map[string]func() (string, error){
		"slopes":       func() (string, error) { return slopesTable(steadyRuns(after)) },
		"sizes peak":   func() (string, error) { return sizesTable(after, scale.WindowPeak) },
		"sizes steady": func() (string, error) { return sizesTable(after, scale.WindowSteady) },
		"sizes before": func() (string, error) { return sizesTable(before, scale.WindowPeak) },
		"kinds":        func() (string, error) { return kindsTable(before, after) },
	} {
		if out[name], err = build(); err != nil {
			return nil, fmt.Errorf("table %q: %w", name, err)
		}
	}
	return out, nil
}

// steadyRuns returns the runs without failures and machine faults.
func steadyRuns(runs []Run) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return len(r.Plan.Failures) > 0 || r.Plan.FaultSpeedup > 0 })
}

// Markers around a table in the page. The name of the table is between tableBegin and
// tableBeginEnd.
const (
	tableBegin    = "<!-- table "
	tableBeginEnd = " -->"
	tableEnd      = "<!-- end of table -->"
)

// ReplaceTables replaces the tables between the markers of a page. It is an error if the page has
// markers for a table that does not exist, or none for a table that does.
func ReplaceTables(page string, tables map[string]string) (string, error) {
	var b strings.Builder
	used := map[string]bool{}
	for {
		head, rest, found := strings.Cut(page, tableBegin)
		b.WriteString(head)
		if !found {
			break
		}
		name, rest, ok := strings.Cut(rest, tableBeginEnd)
		_, rest, ended := strings.Cut(rest, tableEnd)
		if !ok || !ended {
			return "", fmt.Errorf("the table %q has no end marker in the page", name)
		}
		table, known := tables[name]
		if !known {
			return "", fmt.Errorf("there is no table %q", name)
		}
		used[name] = true
		b.WriteString(tableBegin + name + tableBeginEnd + "\n" + table + tableEnd)
		page = rest
	}
	for name := range tables {
		if !used[name] {
			return "", fmt.Errorf("the page has no markers for the table %q", name)
		}
	}
	return b.String(), nil
}

// UpdatePage regenerates the tables of the page at path from the figures in dir, and reports
// whether the page changes. If check is set, it does not write the page.
func UpdatePage(path, dir string, check bool) (changed bool, err error) {
	tables, err := Tables(dir)
	if err != nil {
		return false, err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("read the page: %w", err)
	}
	updated, err := ReplaceTables(string(page), tables)
	if err != nil || updated == string(page) {
		return false, err
	}
	if check {
		return true, nil
	}
	if err := os.WriteFile(path, []byte(updated), 0o644); err != nil {
		return false, fmt.Errorf("write the page: %w", err)
	}
	return true, nil
}
