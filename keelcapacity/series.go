// Package keelcapacity measures the resource usage of instances at several sizes,
// fits straight lines and extrapolates to a target size.
//
// All measurements use loopback addresses on one machine; [Memory] starts each
// instance as a process of its own, the others run in one process. Effects that
// can't be measured this way, such as long links, are left to docs/CAPACITY.md.
package keelcapacity

import (
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Series is one quantity measured at several sizes.
type Series struct {
	// Name is the measured quantity, Unit the unit of Y.
	Name string
	Unit string
	// Axis names the size that varies.
	Axis string
	// X holds the sizes and Y the measured values.
	X, Y []float64
	// Target is the size to extrapolate to.
	Target float64
}

// Fit is a straight line through a series.
type Fit struct {
	Offset, Slope float64
	// R2 is the coefficient of determination.
	R2 float64
	// AtTarget is the line's value at the target size.
	AtTarget float64
}

// Fit returns the least-squares line through the series.
func (s *Series) Fit() Fit {
	offset, slope := stat.LinearRegression(s.X, s.Y, nil, false)
	return Fit{
		Offset:   offset,
		Slope:    slope,
		R2:       stat.RSquared(s.X, s.Y, nil, offset, slope),
		AtTarget: offset + slope*s.Target,
	}
}

// WriteTable writes the series as a Markdown table.
func WriteTable(w io.Writer, list []Series) error {
	if _, err := fmt.Fprintln(w, "| figure | measured at | slope | fit R² | at the target |\n|---|---|---:|---:|---:|"); err != nil {
		return err
	}
	for i := range list {
		s := &list[i]
		f := s.Fit()
		_, err := fmt.Fprintf(w, "| %s (%s) | %s | %.4g for each of %s | %.2f | %.4g at %.4g |\n",
			s.Name, s.Unit, s.points(), f.Slope, s.Axis, f.R2, f.AtTarget, s.Target)
		if err != nil {
			return err
		}
	}
	return nil
}

// points formats the measured points as "x: y" pairs.
func (s *Series) points() string {
	parts := make([]string, len(s.X))
	for i := range s.X {
		parts[i] = fmt.Sprintf("%.4g: %.4g", s.X[i], s.Y[i])
	}
	return strings.Join(parts, ", ")
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot plots the series and its line to a file, whose extension selects the
// format.
func (s *Series) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Axis
	p.Y.Label.Text = s.Unit
	points := make(plotter.XYs, len(s.X))
	for i := range s.X {
		points[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	f := s.Fit()
	line := plotter.NewFunction(func(x float64) float64 { return f.Offset + f.Slope*x })
	p.Add(scatter, line)
	return p.Save(plotWidth, plotHeight, file)
}
