package experiment

import (
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	groupPlotWidth  = 24 * vg.Centimeter
	groupPlotHeight = 8 * vg.Centimeter
)

// PlotGroups writes one plot per scenario, below each other, to path, whose extension selects the format: .svg or .png.
//
// Each plot shows the share of requests answered in time per window, one line per variant.
func PlotGroups(results []GroupResult, path string) error {
	return plotGroups(results, groupWindow, path)
}

// plotGroups plots results whose windows have the given length.
func plotGroups(results []GroupResult, window time.Duration, path string) error {
	var scenarios []string
	byScenario := map[string][]GroupResult{}
	for _, r := range results {
		if byScenario[r.Scenario] == nil {
			scenarios = append(scenarios, r.Scenario)
		}
		byScenario[r.Scenario] = append(byScenario[r.Scenario], r)
	}
	plots := make([][]*plot.Plot, 0, len(scenarios))
	for _, name := range scenarios {
		p, err := plotScenario(name, window, byScenario[name])
		if err != nil {
			return err
		}
		plots = append(plots, []*plot.Plot{p})
	}
	return savePlots(plots, path)
}

func plotScenario(name string, window time.Duration, results []GroupResult) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "answered in time"
	p.Y.Max = 1
	p.Legend.Left = true
	var lines []any
	for _, r := range results {
		var points plotter.XYs
		for i, w := range r.Windows {
			points = append(points, plotter.XY{X: window.Seconds() * float64(i), Y: w.Share()})
		}
		lines = append(lines, r.Variant, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, eris.Wrap(err, "cannot plot "+name)
	}
	return p, nil
}

// savePlots draws the plots below each other.
func savePlots(plots [][]*plot.Plot, path string) error {
	height := groupPlotHeight * vg.Length(len(plots))
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "cannot create the plot")
	}
	defer file.Close()
	switch filepath.Ext(path) {
	case ".svg":
		canvas := vgsvg.New(groupPlotWidth, height)
		drawPlots(plots, draw.New(canvas))
		_, err = canvas.WriteTo(file)
	case ".png":
		canvas := vgimg.New(groupPlotWidth, height)
		drawPlots(plots, draw.New(canvas))
		_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(file)
	default:
		return eris.Errorf("the format of %s is not known; use .svg or .png", path)
	}
	return eris.Wrap(err, "cannot write the plot")
}

func drawPlots(plots [][]*plot.Plot, canvas draw.Canvas) {
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter / 2}
	for row, canvases := range plot.Align(plots, tiles, canvas) {
		plots[row][0].Draw(canvases[0])
	}
}
