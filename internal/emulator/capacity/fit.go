// Package capacity estimates from the figures of scale runs what each role costs at sizes that
// were not measured, and generates the tables of the capacity page.
package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"

	"github.com/zinclb/zinclb/internal/emulator/scale"
)

// Load has the factors that a cost may depend on.
type Load struct {
	Workers, Running, Starts, Teams, Zones, Controllers float64
}

// values returns the factors in the order of factorNames.
func (l Load) values() []float64 {
	return []float64{l.Workers, l.Running, l.Starts, l.Teams, l.Zones, l.Controllers}
}

// factorNames are the names of the factors. A slope is a cost per unit of its factor.
var factorNames = []string{"worker", "running task", "start/s", "team", "zone", "controller"}

// PlanLoad is the load of the operators' plan in its peak minute.
var PlanLoad = Load{Workers: 3200, Running: 18_000, Starts: 750, Teams: 380, Zones: 15, Controllers: 12}

// Point is a cost measured under a load.
type Point struct {
	Load  Load
	Value float64
}

// loadOf returns the load in a window of a run.
func loadOf(f *scale.Figures, w scale.Window) Load {
	return Load{Workers: float64(w.Workers), Running: float64(w.Running), Starts: w.Starts, Teams: float64(f.Plan.Teams), Zones: float64(f.Plan.Zones), Controllers: float64(f.Plan.Controllers)}
}

// Model is a linear model of a cost: an intercept and a slope for each factor.
type Model struct {
	Intercept float64
	Slopes    []float64 // in the order of factorNames; NaN for factors that do not vary
	// Residual is the largest absolute difference between a measured cost and the model.
	Residual float64
	// R2 is the share of the variance that the model explains.
	R2     float64
	Points int
}

// Fit fits a model by least squares. Factors that have the same value in all points are left
// out: their cost is part of the intercept.
func Fit(points []Point) (Model, error) {
	m := Model{Slopes: make([]float64, len(factorNames)), Points: len(points)}
	var varying []int
	for k := range factorNames {
		m.Slopes[k] = math.NaN()
		for _, p := range points {
			if p.Load.values()[k] != points[0].Load.values()[k] {
				varying = append(varying, k)
				break
			}
		}
	}
	if len(points) <= len(varying)+1 {
		return m, fmt.Errorf("%d points are not enough to fit %d slopes", len(points), len(varying))
	}
	x := mat.NewDense(len(points), len(varying)+1, nil)
	y := mat.NewVecDense(len(points), nil)
	for i, p := range points {
		x.Set(i, 0, 1)
		for column, k := range varying {
			x.Set(i, column+1, p.Load.values()[k])
		}
		y.SetVec(i, p.Value)
	}
	var qr mat.QR
	qr.Factorize(x)
	var solution mat.VecDense
	if err := qr.SolveVecTo(&solution, false, y); err != nil {
		return m, fmt.Errorf("fit: %w", err)
	}
	m.Intercept = solution.AtVec(0)
	for column, k := range varying {
		m.Slopes[k] = solution.AtVec(column + 1)
	}
	estimates, values := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		estimates[i], values[i] = m.At(p.Load), p.Value
		m.Residual = max(m.Residual, math.Abs(estimates[i]-values[i]))
	}
	m.R2 = stat.RSquaredFrom(estimates, values, nil)
	return m, nil
}

// At returns the estimated cost under a load.
func (m *Model) At(l Load) float64 {
	cost := m.Intercept
	for k, value := range l.values() {
		if !math.IsNaN(m.Slopes[k]) {
			cost += m.Slopes[k] * value
		}
	}
	return cost
}

// Line is a linear model of a cost that depends on the number of workers only.
type Line struct{ Intercept, Slope float64 }

// FitLine fits a line to the points by their numbers of workers.
func FitLine(points []Point) Line {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.Load.Workers, p.Value
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	return Line{intercept, slope}
}

// At returns the estimated cost for a number of workers.
func (l Line) At(workers float64) float64 { return l.Intercept + l.Slope*workers }
