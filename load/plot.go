package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a plot of latency and failures per second to path, whose extension selects the format: .svg or .png.
func Plot(r Result, path string) error {
	p := plot.New()
	p.Title.Text = "workload " + r.Workload
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "latency (ms), failures per second"
	var p50, p99, failed plotter.XYs
	for _, s := range r.Seconds {
		p50 = append(p50, plotter.XY{X: float64(s.At), Y: s.P50})
		p99 = append(p99, plotter.XY{X: float64(s.At), Y: s.P99})
		failed = append(failed, plotter.XY{X: float64(s.At), Y: float64(s.Failed)})
	}
	if err := plotutil.AddLines(p, "p50", p50, "p99", p99, "failures", failed); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
