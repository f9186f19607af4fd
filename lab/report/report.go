// Package report makes pages that open without a network: tables, and plots drawn by gonum/plot as SVG inside the page. It must
// never fetch anything, and never hold a figure that is not handed to it.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Page is what a page shows, from top to bottom.
type Page struct {
	Title    string
	Sections []Section
}

// Section is a heading with words, a table, a plot; each may be missing.
type Section struct {
	Title string
	Words []string
	Head  []string
	Rows  [][]string
	Plot  template.HTML
}

// Line is one line of a plot.
type Line struct {
	Name string
	X, Y []float64
}

var colors = []color.RGBA{{0x1f, 0x5a, 0xa8, 0xff}, {0xb3, 0x3a, 0x2e, 0xff}, {0x2e, 0x7d, 0x4f, 0xff}, {0x8a, 0x5a, 0x14, 0xff},
	{0x5c, 0x3c, 0x92, 0xff}, {0x33, 0x33, 0x33, 0xff}}

const (
	width  = 16 * vg.Centimeter
	height = 8 * vg.Centimeter
	margin = 3 * vg.Millimeter

	markWithin = 1.5 // times the furthest point: marks beyond are left out
)

// Lines draws lines, with upright marks at some values of x.
func Lines(title, x, y string, lines []Line, marks map[string]float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Left, p.Legend.TextStyle.Font.Size, p.Legend.Padding = true, vg.Points(9), vg.Points(2)
	low, high, far := math.Inf(1), math.Inf(-1), 0.0
	for i, l := range lines {
		xys := make(plotter.XYs, len(l.X))
		for j := range l.X {
			xys[j].X, xys[j].Y = l.X[j], l.Y[j]
			low, high, far = min(low, l.Y[j]), max(high, l.Y[j]), max(far, l.X[j])
		}
		line, points, err := plotter.NewLinePoints(xys)
		if err != nil {
			return "", err
		}
		line.Color, points.Color = colors[i%len(colors)], colors[i%len(colors)]
		line.Width = vg.Points(1.5)
		p.Add(line, points)
		p.Legend.Add(l.Name, line)
	}
	for i, name := range slices.Sorted(maps.Keys(marks)) {
		at := marks[name]
		if at > markWithin*far {
			continue // it would leave no room for the lines
		}
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: low}, {X: at, Y: high}})
		if err != nil {
			return "", err
		}
		mark.Dashes, mark.Color = []vg.Length{vg.Points(4), vg.Points(3)}, colors[(i+2)%len(colors)]
		p.Add(mark)
		p.Legend.Add(fmt.Sprintf("%s (%.2f)", name, at), mark)
	}
	return draw(p)
}

// Bars draws a bar for each name.
func Bars(title, y string, names []string, values []float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	bars, err := plotter.NewBarChart(plotter.Values(values), max(width*0.7/vg.Length(max(len(values), 1)), 1))
	if err != nil {
		return "", err
	}
	bars.Color, bars.LineStyle.Width = colors[0], 0
	p.Add(bars)
	if len(names) <= 40 {
		p.NominalX(names...)
		p.X.Tick.Label.Rotation = math.Pi / 4
		p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = -1, -0.5
	}
	p.Y.Min = 0
	return draw(p)
}

func draw(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(vgdraw.Crop(vgdraw.New(canvas), margin, -2*margin, margin, -margin))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // without the lines that only a file needs
		text = text[i:]
	}
	return template.HTML(text), nil
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:15px/1.45 system-ui,sans-serif;max-width:58rem;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2rem;border-bottom:1px solid #ccc}
table{border-collapse:collapse;margin:.6rem 0}td,th{padding:.2rem .7rem;border-bottom:1px solid #e3e3e3;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}
</style></head><body><h1>{{.Title}}</h1>
{{range .Sections}}<h2>{{.Title}}</h2>{{range .Words}}<p>{{.}}</p>{{end}}
{{if .Rows}}<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}{{.Plot}}
{{end}}</body></html>
`))

// Write writes the page.
func (p *Page) Write(out io.Writer) error { return page.Execute(out, p) }
