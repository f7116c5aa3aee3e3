package load

import (
	"math"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot draws the answer latencies of reports over the percentile into a file.
// The file's suffix chooses the format: svg or png.
func Plot(path, title string, reports ...*Report) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "latency from intended arrival, ms"
	p.X.Tick.Marker = plot.ConstantTicks(percentileTicks())
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, report := range reports {
		lines = append(lines, report.Name, curve(&report.Summary.AnswerLatency))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// position places a percentile on the axis so that each further nine takes the
// same room.
func position(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

func percentileTicks() []plot.Tick {
	var ticks []plot.Tick
	for _, percentile := range []float64{50, 90, 95, 99, 99.9} {
		ticks = append(ticks, plot.Tick{Value: position(percentile), Label: "p" + strconv.FormatFloat(percentile, 'f', -1, 64)})
	}
	return ticks
}

func curve(p *Percentiles) plotter.XYs {
	return plotter.XYs{
		{X: position(50), Y: p.P50},
		{X: position(90), Y: p.P90},
		{X: position(95), Y: p.P95},
		{X: position(99), Y: p.P99},
		{X: position(99.9), Y: p.P999},
	}
}
