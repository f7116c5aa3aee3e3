package load

import (
	"math"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Width and height of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot writes a plot of the reports' answer latencies by percentile to the file at
// path. The file name's suffix selects the format: svg or png.
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

// axisPosition maps a percentile to a logarithmic axis, on which 90, 99 and 99.9 are
// equally far apart.
func axisPosition(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

func percentileTicks() []plot.Tick {
	var ticks []plot.Tick
	for _, percentile := range []float64{50, 90, 95, 99, 99.9} {
		ticks = append(ticks, plot.Tick{Value: axisPosition(percentile), Label: "p" + strconv.FormatFloat(percentile, 'f', -1, 64)})
	}
	return ticks
}

func curve(p *Percentiles) plotter.XYs {
	return plotter.XYs{
		{X: axisPosition(50), Y: p.P50},
		{X: axisPosition(90), Y: p.P90},
		{X: axisPosition(95), Y: p.P95},
		{X: axisPosition(99), Y: p.P99},
		{X: axisPosition(99.9), Y: p.P999},
	}
}
