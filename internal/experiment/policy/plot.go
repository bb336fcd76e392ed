package policy

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// WritePlot draws the ratio of tail latency to target over the finished batch work for
// each run of a mix. The extension of file selects the format.
func WritePlot(file string, results []Result, mix string) error {
	p := plot.New()
	p.Title.Text = mix
	p.X.Label.Text = "batch work finished / offered"
	p.Y.Label.Text = "p99 latency / target"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	colors := []color.Color{
		color.RGBA{B: 200, A: 255}, color.RGBA{G: 160, B: 200, A: 255}, color.RGBA{R: 200, A: 255},
		color.RGBA{G: 140, A: 255}, color.RGBA{R: 160, G: 120, A: 255},
	}
	for i, policy := range allPolicies {
		tails := metricValues(results, mix, policy, func(r *Result) float64 { return r.TailOverTarget })
		batch := metricValues(results, mix, policy, func(r *Result) float64 { return r.BatchFinished })
		points := make(plotter.XYs, len(tails))
		for j := range tails {
			points[j].X, points[j].Y = batch[j], tails[j]
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		s.Color = colors[i]
		p.Add(s)
		p.Legend.Add(policy, s)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot %s: %w", file, err)
	}
	return nil
}
