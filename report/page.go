package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"image/color"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/budget"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

var (
	//go:embed page.html
	pageSource string

	pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
		"promise": DescribeObjective,
		"share":   FormatPercent,
		"rate":    FormatRate,
		"moment":  formatTime,
		"blame":   blameText,
		"chart":   chart,
	}).Parse(pageSource))

	lineColour     = color.RGBA{R: 0x5b, G: 0x3f, B: 0x9e, A: 0xff}
	zeroLineColour = color.RGBA{R: 0xb0, G: 0x1e, B: 0x2e, A: 0xff}
)

// HTML returns the report as one HTML page with inline charts.
func (r *Report) HTML() ([]byte, error) {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, r); err != nil {
		return nil, errors.Wrap(err, "rendering the page")
	}
	return b.Bytes(), nil
}

// chart returns an SVG chart of the remaining budget by hour, or "" if there are fewer
// than two points.
func chart(b budget.Budget) (template.HTML, error) {
	if len(b.History) < 2 {
		return "", nil
	}
	p := plot.New()
	p.Y.Label.Text = "budget left (%)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02 15h", Time: unixUTC}
	points := make(plotter.XYs, len(b.History))
	for i, left := range b.History {
		points[i].X = float64(b.HistoryStart.Add(time.Duration(i) * time.Hour).Unix())
		points[i].Y = roundToHundredth(left * percent)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return "", errors.Wrap(err, "drawing a budget chart")
	}
	line.Color = lineColour
	zeroLine := plotter.NewFunction(func(float64) float64 { return 0 })
	zeroLine.Color = zeroLineColour
	zeroLine.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(plotter.NewGrid(), line, zeroLine)
	p.X.Min, p.X.Max = points[0].X, points[len(points)-1].X
	p.Y.Max = percent
	p.Y.Min = min(0, p.Y.Min)
	return renderSVG(p)
}

// renderSVG returns a plot as an svg element, without the header of an SVG file.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "writing a chart")
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // The library writes numbers and fixed labels only.
}

func unixUTC(t float64) time.Time {
	return time.Unix(int64(t), 0).UTC()
}
