// Package experiment compares versions of zinclb over scenarios and seeds. It runs the cells of the
// matrix of versions, scenarios and seeds, computes the differences between the versions, and
// draws plots of the results.
package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Result is the result of a run.
type Result struct {
	Scenario string             `json:"scenario"`
	Seed     uint64             `json:"seed"`
	Version  string             `json:"version"`
	Mode     string             `json:"mode"`
	Figures  map[string]float64 `json:"figures"`
	// Digest is the digest of the history; in simulated time, the same run always has the
	// same digest.
	Digest     string   `json:"digest"`
	Violations []string `json:"broken"`
	// FailureReason says why the run has no figures.
	FailureReason string `json:"failed,omitempty"`
}

// Difference is the change of a figure from the base version to another version, over the seeds
// that both were run with.
type Difference struct {
	Scenario, Figure, Version string
	Pairs                     int
	Base, Mean                float64
	// Low and High are the bounds of the 95% confidence interval of the difference, by
	// Student's t over the pairs with the same seed; NaN for fewer than two pairs.
	Low, High float64
}

// Significant reports whether the confidence interval excludes zero.
func (d Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// Compare computes the differences of all figures of each scenario between the version base and
// each other version.
func Compare(results []Result, base string) []Difference {
	type key struct{ scenario, figure string }
	values := map[key]map[string]map[uint64]float64{}
	var keys []key
	var versions []string
	for _, r := range results {
		if !slices.Contains(versions, r.Version) {
			versions = append(versions, r.Version)
		}
		for figure, value := range r.Figures {
			k := key{r.Scenario, figure}
			if values[k] == nil {
				values[k] = map[string]map[uint64]float64{}
				keys = append(keys, k)
			}
			if values[k][r.Version] == nil {
				values[k][r.Version] = map[uint64]float64{}
			}
			values[k][r.Version][r.Seed] = value
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return strings.Compare(a.scenario+"\x00"+a.figure, b.scenario+"\x00"+b.figure)
	})
	var out []Difference
	for _, k := range keys {
		for _, version := range versions {
			if version == base {
				continue
			}
			var differences, baseValues []float64
			seeds := make([]uint64, 0, len(values[k][base]))
			for seed := range values[k][base] {
				seeds = append(seeds, seed)
			}
			slices.Sort(seeds) // makes sums independent of the map order
			for _, seed := range seeds {
				if value, ok := values[k][version][seed]; ok {
					differences, baseValues = append(differences, value-values[k][base][seed]), append(baseValues, values[k][base][seed])
				}
			}
			if len(differences) == 0 {
				continue
			}
			d := Difference{Scenario: k.scenario, Figure: k.figure, Version: version, Pairs: len(differences), Base: stat.Mean(baseValues, nil), Low: math.NaN(), High: math.NaN()}
			d.Mean = stat.Mean(differences, nil)
			if n := float64(len(differences)); n > 1 {
				halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(differences, nil) / math.Sqrt(n)
				d.Low, d.High = d.Mean-halfWidth, d.Mean+halfWidth
			}
			out = append(out, d)
		}
	}
	return out
}

// Table formats the differences as a Markdown table that marks the significant ones.
func Table(differences []Difference, base string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| scenario | figure | %s | version | pairs | difference | 95%% confidence | |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n", base)
	for _, d := range differences {
		mark := ""
		if d.Significant() {
			mark = "clear"
		}
		fmt.Fprintf(&b, "| %s | %s | %.4g | %s | %d | %+.4g | %.4g to %.4g | %s |\n", d.Scenario, d.Figure, d.Base, d.Version, d.Pairs, d.Mean, d.Low, d.High, mark)
	}
	return b.String()
}
