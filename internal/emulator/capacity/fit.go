// Package capacity works out from scale runs what each role costs at a size that was
// not played, and keeps the tables of the page that tells of it.
package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"

	"github.com/zinclb/zinclb/internal/emulator/scale"
)

// Load is what a cost may depend on.
type Load struct {
	Workers, Running, Starts, Teams, Zones, Controllers float64
}

// values are the load's parts in the order of factorNames.
func (l Load) values() []float64 {
	return []float64{l.Workers, l.Running, l.Starts, l.Teams, l.Zones, l.Controllers}
}

// factorNames name what a slope is per.
var factorNames = []string{"worker", "running task", "start/s", "team", "zone", "controller"}

// PlanLoad is the operators' plan in its peak minute.
var PlanLoad = Load{Workers: 3200, Running: 18_000, Starts: 750, Teams: 380, Zones: 15, Controllers: 12}

// Point is a cost that was measured under a load.
type Point struct {
	Load  Load
	Value float64
}

// loadOf is what a window of a run was under.
func loadOf(f *scale.Figures, w scale.Window) Load {
	return Load{Workers: float64(w.Workers), Running: float64(w.Running), Starts: w.Starts, Teams: float64(f.Plan.Teams), Zones: float64(f.Plan.Zones), Controllers: float64(f.Plan.Controllers)}
}

// Model is a cost as an intercept and slopes.
type Model struct {
	Intercept float64
	Slopes    []float64 // in the order of factorNames; NaN for one that did not vary
	// Residual is the largest difference between what was measured and the model.
	Residual float64
	// R2 is the share of the variance that the model explains.
	R2     float64
	Points int
}

// Fit fits a model by least squares. Factors that are the same in all points are left
// out: what they cost is part of the intercept.
func Fit(points []Point) (Model, error) {
	m := Model{Slopes: make([]float64, len(factorNames)), Points: len(points)}
	var vary []int
	for k := range factorNames {
		m.Slopes[k] = math.NaN()
		for _, p := range points {
			if p.Load.values()[k] != points[0].Load.values()[k] {
				vary = append(vary, k)
				break
			}
		}
	}
	if len(points) <= len(vary)+1 {
		return m, fmt.Errorf("%d points do not tell %d slopes", len(points), len(vary))
	}
	x := mat.NewDense(len(points), len(vary)+1, nil)
	y := mat.NewVecDense(len(points), nil)
	for i, p := range points {
		x.Set(i, 0, 1)
		for c, k := range vary {
			x.Set(i, c+1, p.Load.values()[k])
		}
		y.SetVec(i, p.Value)
	}
	var qr mat.QR
	qr.Factorize(x)
	var b mat.VecDense
	if err := qr.SolveVecTo(&b, false, y); err != nil {
		return m, fmt.Errorf("fit: %w", err)
	}
	m.Intercept = b.AtVec(0)
	for c, k := range vary {
		m.Slopes[k] = b.AtVec(c + 1)
	}
	estimates, values := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		estimates[i], values[i] = m.At(p.Load), p.Value
		m.Residual = max(m.Residual, math.Abs(estimates[i]-values[i]))
	}
	m.R2 = stat.RSquaredFrom(estimates, values, nil)
	return m, nil
}

// At is the cost under a load.
func (m *Model) At(l Load) float64 {
	v := m.Intercept
	for k, x := range l.values() {
		if !math.IsNaN(m.Slopes[k]) {
			v += m.Slopes[k] * x
		}
	}
	return v
}

// Line is a cost by the number of workers alone.
type Line struct{ Intercept, Slope float64 }

// FitLine fits a line through the points by their workers.
func FitLine(points []Point) Line {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.Load.Workers, p.Value
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	return Line{a, b}
}

// At is the cost with so many workers.
func (l Line) At(workers float64) float64 { return l.Intercept + l.Slope*workers }
