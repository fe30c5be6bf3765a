package experiment

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// PlotFleets writes plots of the times, and of the traffic of an instance, against the size of the fleet to path, whose
// extension selects the format: .svg or .png.
func PlotFleets(results []FleetResult, path string) error {
	times, err := plotFleet("spread", "time (s)", results, map[string]func(FleetResult) float64{
		"all instances joined": func(r FleetResult) float64 { return r.JoinedAfter.Seconds() },
		"all instances known":  func(r FleetResult) float64 { return r.KnownAfter.Seconds() },
		"change everywhere":    func(r FleetResult) float64 { return r.ChangeAfter.Seconds() },
	})
	if err != nil {
		return err
	}
	traffic, err := plotFleet("traffic", "KB an instance", results, map[string]func(FleetResult) float64{
		"start":             func(r FleetResult) float64 { return float64(r.Start.Bytes) / 1000 / float64(r.Instances) },
		"change":            func(r FleetResult) float64 { return float64(r.Change.Bytes) / 1000 / float64(r.Instances) },
		"a second, settled": func(r FleetResult) float64 { return float64(r.Steady.Bytes) / 1000 / float64(r.Instances) },
	})
	if err != nil {
		return err
	}
	return savePlots([][]*plot.Plot{{times}, {traffic}}, path)
}

// plotFleet plots quantities of the results against the size of the fleet, one line for each.
func plotFleet(title, unit string, results []FleetResult, quantities map[string]func(FleetResult) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "instances"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Left = true
	var lines []any
	for _, name := range slices.Sorted(maps.Keys(quantities)) {
		var points plotter.XYs
		for _, r := range results {
			points = append(points, plotter.XY{X: float64(r.Instances), Y: quantities[name](r)})
		}
		lines = append(lines, name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, eris.Wrap(err, "cannot plot "+title)
	}
	return p, nil
}
