package stages

import (
	"bytes"
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth      = 24 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	barWidthPoints = 8
)

// stageColours are the bar colours, by stage.
var stageColours = [stageCount]color.RGBA{
	{R: 0x88, G: 0x88, B: 0x88, A: 0xff},
	{R: 0xd9, G: 0x8f, B: 0x2b, A: 0xff},
	{R: 0x5b, G: 0x3f, B: 0x9e, A: 0xff},
	{R: 0xc2, G: 0x5a, B: 0x7c, A: 0xff},
	{R: 0x3a, G: 0x8f, B: 0x6b, A: 0xff},
	{R: 0xb0, G: 0x1e, B: 0x2e, A: 0xff},
	{R: 0x2f, G: 0x6f, B: 0xb0, A: 0xff},
}

// SVG returns a stacked bar chart of the steps in the order of submission, with the
// seconds of each step in each stage.
func (r *Report) SVG() ([]byte, error) {
	rows := r.rows()
	p := plot.New()
	p.X.Label.Text = "step, in the order of submission"
	p.Y.Label.Text = "seconds"
	p.Legend.Top = true
	var prev *plotter.BarChart
	for stage := range stageCount {
		values := make(plotter.Values, len(rows))
		for i, w := range rows {
			values[i] = w.stageDurations[stage].Seconds()
		}
		if len(values) == 0 {
			return nil, errors.New("chart: no steps in the logs")
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidthPoints))
		if err != nil {
			return nil, errors.Wrap(err, "drawing the bars of a stage")
		}
		bars.Color = stageColours[stage]
		bars.LineStyle.Width = 0
		if prev != nil {
			bars.StackOn(prev)
		}
		prev = bars
		p.Add(bars)
		p.Legend.Add(stageNames[stage], bars)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, errors.Wrap(err, "writing the chart")
	}
	return b.Bytes(), nil
}
