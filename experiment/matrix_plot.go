package experiment

import (
	"image/color"
	"math"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg/draw"
)

// PlotMatrix writes one plot per measure, below each other, to path, whose extension selects the format: .svg or .png.
//
// Each plot shows the difference of each build for each case, with its confidence interval where there are two pairs or more.
func PlotMatrix(differences []MatrixDifference, path string) error {
	var measures []string
	for _, d := range differences {
		if !slices.Contains(measures, d.Difference.Measure) {
			measures = append(measures, d.Difference.Measure)
		}
	}
	if len(measures) == 0 {
		return eris.New("there is no result to plot")
	}
	var plots [][]*plot.Plot
	for _, measure := range measures {
		of := slices.DeleteFunc(slices.Clone(differences), func(d MatrixDifference) bool { return d.Difference.Measure != measure })
		p, err := plotMeasure(measure, of)
		if err != nil {
			return err
		}
		plots = append(plots, []*plot.Plot{p})
	}
	return savePlots(plots, path)
}

// buildOffset is the distance between the points of two builds for the same case; the cases are 1 apart.
const buildOffset = 0.1

// plotMeasure plots the differences of one measure.
func plotMeasure(measure string, differences []MatrixDifference) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = measure
	p.Y.Label.Text = "difference"
	var builds, cases []string
	for _, d := range differences {
		if !slices.Contains(builds, d.Build) {
			builds = append(builds, d.Build)
		}
		if !slices.Contains(cases, d.Case) {
			cases = append(cases, d.Case)
		}
	}
	zero := plotter.NewFunction(func(float64) float64 { return 0 })
	zero.Color = color.Gray{Y: 128}
	p.Add(zero)
	for n, build := range builds {
		points := intervals{}
		for _, d := range differences {
			if d.Build != build || d.Difference.Pairs == 0 {
				continue
			}
			margin := d.Difference.Margin
			if math.IsInf(margin, 0) {
				margin = 0
			}
			x := float64(slices.Index(cases, d.Case)) + buildOffset*float64(n)
			points.XYs = append(points.XYs, plotter.XY{X: x, Y: d.Difference.Mean})
			points.YErrors = append(points.YErrors, struct{ Low, High float64 }{margin, margin})
		}
		if len(points.XYs) == 0 {
			continue
		}
		if err := points.addTo(p, build, n); err != nil {
			return nil, eris.Wrap(err, "cannot plot "+measure)
		}
	}
	p.NominalX(cases...)
	return p, nil
}

// intervals are points with their confidence intervals.
type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// addTo adds the points of the build with an index to a plot.
func (i intervals) addTo(p *plot.Plot, build string, index int) error {
	scatter, err := plotter.NewScatter(i.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(i)
	if err != nil {
		return err
	}
	scatter.Shape = draw.CircleGlyph{}
	scatter.Color = plotutil.Color(index)
	bars.Color = plotutil.Color(index)
	p.Add(scatter, bars)
	p.Legend.Add(build, scatter)
	return nil
}
