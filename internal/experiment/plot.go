package experiment

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// colors tell versions apart, also without seeing red and green apart.
var colors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{204, 121, 167, 255}}

// Plot draws one picture for each figure that is a share of an aim or that
// names asks for: a point for each run, by scenario, the versions side by side.
// It returns the files.
func Plot(results []Result, dir string, names []string) ([]string, error) {
	var scenarios, versions []string
	figures := slices.Clone(names)
	for _, r := range results {
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
		if !slices.Contains(versions, r.Version) {
			versions = append(versions, r.Version)
		}
		for f := range r.Figures {
			if strings.Contains(f, " ") && !slices.Contains(figures, f) {
				figures = append(figures, f)
			}
		}
	}
	slices.Sort(figures)
	var files []string
	for _, f := range figures {
		p := plot.New()
		p.Title.Text = f
		p.Y.Label.Text = unit(f)
		p.Legend.Top = true
		p.NominalX(scenarios...)
		p.X.Tick.Label.Rotation = math.Pi / 7
		p.X.Tick.Label.XAlign = -1
		p.Add(plotter.NewGrid())
		drawn := false
		for k, v := range versions {
			var pts plotter.XYs
			for _, r := range results {
				y, ok := r.Figures[f]
				if r.Version != v || !ok || math.IsNaN(y) {
					continue
				}
				// Side by side by version, and a little apart by seed, as
				// many runs have the same figure.
				x := float64(slices.Index(scenarios, r.Scenario)) + (float64(k)-float64(len(versions)-1)/2)*0.2 + float64(r.Seed%8)*0.015 - 0.06
				pts = append(pts, plotter.XY{X: x, Y: y})
			}
			if len(pts) == 0 {
				continue
			}
			s, err := plotter.NewScatter(pts)
			if err != nil {
				return nil, fmt.Errorf("plot %s: %w", f, err)
			}
			s.Color, s.Radius = colors[k%len(colors)], vg.Points(3)
			p.Add(s)
			p.Legend.Add(v, s)
			drawn = true
		}
		if !drawn {
			continue
		}
		p.X.Min, p.X.Max = -0.5, float64(len(scenarios))-0.5
		if unit(f) == "share" {
			p.Y.Min, p.Y.Max = min(p.Y.Min, 0.5), 1.1
		} else {
			p.Y.Min, p.Y.Max = 0, p.Y.Max*1.1+0.1
		}
		file := filepath.Join(dir, strings.ReplaceAll(f, " ", "-")+".png")
		if err := p.Save(vg.Length(10+3*len(scenarios))*vg.Centimeter, 11*vg.Centimeter, file); err != nil {
			return nil, fmt.Errorf("plot %s: %w", f, err)
		}
		files = append(files, file)
	}
	return files, nil
}

func unit(figure string) string {
	switch {
	case strings.HasSuffix(figure, "_s"):
		return "s"
	case strings.Contains(figure, " "):
		return "share"
	}
	return figure
}
