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

// colors are the colors of the versions. People with red-green color blindness can distinguish them.
var colors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{204, 121, 167, 255}}

// The layout of a plot, in fractions of the distance between two scenarios.
const (
	versionOffset = 0.2   // between the points of two versions
	seedOffset    = 0.015 // between the points of two seeds, as many runs have the same value
	seedColumns   = 8
	seedStart     = 0.06
)

// Plot draws one plot for each figure that is the share of an objective (its name contains a
// space) or that is listed in names: a point for each run, by scenario, with the versions side by
// side. It writes the plots to dir and returns the names of their files.
func Plot(results []Result, dir string, names []string) ([]string, error) {
	d := drawing{results: results}
	figures := slices.Clone(names)
	for _, r := range results {
		d.scenarios = appendUnique(d.scenarios, r.Scenario)
		d.versions = appendUnique(d.versions, r.Version)
		for figure := range r.Figures {
			if strings.Contains(figure, " ") {
				figures = appendUnique(figures, figure)
			}
		}
	}
	slices.Sort(figures)
	var files []string
	for _, figure := range figures {
		p, err := d.draw(figure)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", figure, err)
		}
		if p == nil {
			continue
		}
		file := filepath.Join(dir, strings.ReplaceAll(figure, " ", "-")+".png")
		if err := p.Save(vg.Length(10+3*len(d.scenarios))*vg.Centimeter, 11*vg.Centimeter, file); err != nil {
			return nil, fmt.Errorf("plot %s: %w", figure, err)
		}
		files = append(files, file)
	}
	return files, nil
}

// appendUnique appends an item to a list unless the list contains it.
func appendUnique(list []string, item string) []string {
	if slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}

// drawing has the data that all plots share.
type drawing struct {
	results             []Result
	scenarios, versions []string
}

// draw draws the plot of a figure. It returns nil if no run has the figure.
func (d *drawing) draw(figure string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = figure
	p.Y.Label.Text = unit(figure)
	p.Legend.Top = true
	p.NominalX(d.scenarios...)
	p.X.Tick.Label.Rotation = math.Pi / 7
	p.X.Tick.Label.XAlign = -1
	p.Add(plotter.NewGrid())
	drawn := false
	for k, version := range d.versions {
		points := d.points(figure, k)
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return nil, err
		}
		scatter.Color, scatter.Radius = colors[k%len(colors)], vg.Points(3)
		p.Add(scatter)
		p.Legend.Add(version, scatter)
		drawn = true
	}
	if !drawn {
		return nil, nil
	}
	p.X.Min, p.X.Max = -0.5, float64(len(d.scenarios))-0.5
	if unit(figure) == "share" {
		p.Y.Min, p.Y.Max = min(p.Y.Min, 0.5), 1.1
	} else {
		p.Y.Min, p.Y.Max = 0, p.Y.Max*1.1+0.1
	}
	return p, nil
}

// points returns the points of a version's runs.
func (d *drawing) points(figure string, version int) (points plotter.XYs) {
	for _, r := range d.results {
		y, ok := r.Figures[figure]
		if r.Version != d.versions[version] || !ok || math.IsNaN(y) {
			continue
		}
		x := float64(slices.Index(d.scenarios, r.Scenario))
		x += (float64(version) - float64(len(d.versions)-1)/2) * versionOffset
		x += float64(r.Seed%seedColumns)*seedOffset - seedStart
		points = append(points, plotter.XY{X: x, Y: y})
	}
	return points
}

// unit returns the label of the vertical axis for a figure.
func unit(figure string) string {
	switch {
	case strings.HasSuffix(figure, "_s"):
		return "s"
	case strings.Contains(figure, " "):
		return "share"
	}
	return figure
}
