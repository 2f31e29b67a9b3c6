package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
)

// roleOrder is the order in which roles are printed.
var roleOrder = []string{RoleLeader, RoleStandBy, RoleBusiest, RoleState, RoleCloud, RoleSharedWorkers, RoleDedicated, RoleEmulator}

// Total sums the rates of all message kinds whose names begin with prefix, except the kind named
// prefix itself.
func (r Role) Total(prefix string) (sum Rate) {
	for kind, x := range r.Kinds {
		if len(kind) <= len(prefix) || kind[:len(prefix)] != prefix {
			continue
		}
		sum.Messages += x.Messages
		sum.Refused += x.Refused
		sum.Changes += x.Changes
		sum.BytesIn += x.BytesIn
		sum.BytesOut += x.BytesOut
	}
	return sum
}

// Write prints the figures as human-readable text.
func (f *Figures) Write(out io.Writer) error {
	p := func(format string, a ...any) { _, _ = fmt.Fprintf(out, format, a...) }
	p("\n%d workers, %d controllers, %d zones in %d regions, %d teams, seed %d (emulated machines, %d cores)\n", f.Plan.Workers, f.Plan.Controllers, f.Plan.Zones, f.Plan.Regions, f.Plan.Teams, f.Plan.Seed, f.Cores)
	if f.MachineLimited != "" {
		p("NO FIGURE: the machine was the limit: %s\n", f.MachineLimited)
	}
	for _, name := range []string{WindowPeak, WindowSteady} {
		w, ok := f.Windows[name]
		if !ok {
			continue
		}
		p("\n%s, %.0f s: %.1f starts/s, %d tasks on machines, %d workers known\n", name, w.Seconds, w.Starts, w.Running, w.Workers)
		t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
		_, _ = fmt.Fprintln(t, "role\tof\tcore\tMB\tpeak MB\treports/s\tKB/s reports\tKB/s peers\tstate/s\trefused/s\tchanges/s\tusers/s\t")
		for _, role := range roleOrder {
			r, ok := w.Roles[role]
			if !ok {
				continue
			}
			state := r.Total("state ")
			users := r.Kinds["poll"].Messages + r.Kinds["submission"].Messages + r.Kinds["cancellation"].Messages
			report, peer := r.Kinds["report"], r.Kinds["peer"]
			_, _ = fmt.Fprintf(t, "%s\t%d\t%.4f\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", role, r.Count, r.CPU, r.Memory, r.Peak, report.Messages, (report.BytesIn+report.BytesOut)/1000, (peer.BytesIn+peer.BytesOut)/1000,
				state.Messages, state.Refused, state.Changes, users)
		}
		if err := t.Flush(); err != nil {
			return fmt.Errorf("write the table: %w", err)
		}
		p("a worker's bytes/s: p50 %.0f, p99 %.0f, worst %.0f\n", w.WorkerBytes.Median, w.WorkerBytes.P99, w.WorkerBytes.Worst)
		for _, kind := range slices.Sorted(maps.Keys(w.Roles[RoleState].Kinds)) {
			x := w.Roles[RoleState].Kinds[kind]
			leader, other := w.Roles[RoleLeader].Kinds[kind], w.Roles[RoleStandBy].Kinds[kind]
			p("  %-14s %7.2f/s, refused %.2f/s; leader %.2f/s, each stand-by %.2f/s\n", kind, x.Messages, x.Refused, leader.Messages, other.Messages)
		}
	}
	p("\nurgent work: p50 %.2f s, p95 %.2f s, p99 %.2f s, worst %.2f s; %.3f of %d within %.1f s\n", f.Urgent.Median, f.Urgent.P95, f.Urgent.P99, f.Urgent.Worst, f.Urgent.Share, f.Urgent.Count, f.Urgent.Within)
	p("gangs: p50 %.2f s, p95 %.2f s, worst %.2f s; %.3f of %d within %.0f s\n", f.Gangs.Median, f.Gangs.P95, f.Gangs.Worst, f.Gangs.Share, f.Gangs.Count, f.Gangs.Within)
	p("submissions: p50 %.0f ms, p95 %.0f ms, worst %.0f ms of %d; polls: p50 %.0f ms, p95 %.0f ms, worst %.0f ms of %d\n", f.Submit.Median, f.Submit.P95, f.Submit.Worst, f.Submit.Count, f.Poll.Median, f.Poll.P95, f.Poll.Worst, f.Poll.Count)
	for _, t := range f.Failovers {
		p("after the leader was lost: %d workers had an answer of the next one, p50 %.2f s, p99 %.2f s, worst %.2f s\n", t.Workers, t.Median, t.P99, t.Worst)
	}
	p("timers ran late: p50 %.1f ms, p99 %.1f ms, worst %.0f ms; at most %.0f MB in all processes\n", f.TimerLateness.Median, f.TimerLateness.P99, f.TimerLateness.Worst, f.PeakMemoryMB)
	for i, b := range f.Violations {
		if i == 20 {
			p("broken: %d more\n", len(f.Violations)-i)
			break
		}
		p("broken %s\n", b)
	}
	p("%d events, %d breaches of the rules\n", f.Events, len(f.Violations))
	return nil
}

// Save writes the figures to a file.
func (f *Figures) Save(path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("save figures: %w", err)
	}
	b, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("save figures: %w", err)
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("save figures: %w", err)
	}
	return nil
}

// Load reads figures from a file.
func Load(path string) (*Figures, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load figures: %w", err)
	}
	var f Figures
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("load figures: %s: %w", path, err)
	}
	return &f, nil
}
