package drill

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, and the maximum number of marks on it.
const (
	plotWidth, plotHeight = 26 * vg.Centimeter, 7 * vg.Centimeter
	maxMarks              = 60
)

// Colors of a plot.
var (
	lineColors = []color.Color{
		color.RGBA{0x1b, 0x6c, 0xa8, 0xff},
		color.RGBA{0xc0, 0x50, 0x1e, 0xff},
		color.RGBA{0x3a, 0x8a, 0x3a, 0xff},
		color.RGBA{0x7a, 0x4f, 0x9a, 0xff},
		color.RGBA{0x9a, 0x7b, 0x1c, 0xff},
		color.RGBA{0x4a, 0x4a, 0x4a, 0xff},
	}
	faultColor    = color.RGBA{0xb0, 0x10, 0x10, 0xff} // color of marks of the scenario's events
	decisionColor = color.RGBA{0x10, 0x60, 0x10, 0xff} // color of marks of the fleet's decisions on zones
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.R.Scenario}}, seed {{.R.Seed}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:1040px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse}td,th{padding:.15em .8em;text-align:left;border-bottom:1px solid #ddd;vertical-align:top}
svg{width:100%;height:auto}.fell{color:#b01010;font-weight:bold}.d{color:#106010}.t{color:#b01010}</style>
<h1>{{.R.Scenario}}, seed {{.R.Seed}}{{if not .R.Coordinated}}, without the fleet view{{end}}</h1>
<table><tr><th>processes<th>requests<th>served<th>worst 5 s<th>lost<th>CPU per request<th>bytes per second and gateway
<tr><td>{{.R.Processes}}<td>{{.R.Requests}}<td>{{printf "%.4f" .R.Served}}<td>{{printf "%.4f" .R.WorstServed}}<td>{{.R.Lost}}<td>{{printf "%.0f µs" .R.CPUPerRequest}}<td>{{printf "%.0f" .R.FleetBytes}}</table>
{{range .R.Violations}}<p class="fell">{{.}}</p>{{end}}{{range .R.UnmetExpectations}}<p class="fell">{{.}}</p>{{end}}
{{if not (or .R.Violations .R.UnmetExpectations)}}<p>All checks passed.</p>{{end}}
<p>Vertical lines: <span class="t">events of the scenario</span>, <span class="d">decisions of the fleet on zones</span>.</p>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>Timeline</h2><table>{{range .R.Timeline}}<tr><td>{{printf "%.2f s" .At}}<td>{{.Text}}{{end}}</table></html>
`))

// drawing is one plot of the page, with its title.
type drawing struct {
	Title string
	SVG   template.HTML
}

// Page writes a result as one self-contained HTML page: plots of the served ratio and of the attempts sent to zones and servers,
// with the scenario's events and the fleet's decisions marked on the time axis.
func Page(w io.Writer, r *Result) error {
	served := plotter.XYs{}
	for i, v := range r.ServedBySecond {
		served = append(served, plotter.XY{X: float64(i), Y: v})
	}
	servedLine := map[string]plotter.XYs{"served": served}
	data := struct {
		R     *Result
		Plots []drawing
	}{R: r}
	for _, d := range []struct {
		title, y string
		lines    map[string]plotter.XYs
		legend   bool
	}{{"Value served in time", "ratio of the offered value", servedLine, false}, {"Attempts sent to zones", "per second", series(r.SentToZones), true},
		{"Attempts sent to servers", "per second", series(r.SentToServers), false}} {
		svg, err := draw(d.y, d.lines, d.legend, r)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, drawing{d.title, svg})
	}
	return page.Execute(w, data)
}

// series converts counts by second to lines of a plot.
func series(sends map[string][]int) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for name, counts := range sends {
		for i, n := range counts {
			lines[name] = append(lines[name], plotter.XY{X: float64(i), Y: float64(n)})
		}
	}
	return lines
}

// draw returns one plot as an SVG element.
func draw(yLabel string, lines map[string]plotter.XYs, legend bool, r *Result) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = yLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	maxValue, err := addLines(p, lines, legend)
	if err != nil {
		return "", err
	}
	if err := addMarks(p, r.Timeline, maxValue); err != nil {
		return "", err
	}
	p.X.Min = 0
	p.X.Max = float64(max(1, len(r.ServedBySecond)))
	p.Y.Max = maxValue * 1.25
	return render(p)
}

// addLines adds lines to a plot in the order of their names, and returns their highest value, or 1 if that is lower.
func addLines(p *plot.Plot, lines map[string]plotter.XYs, legend bool) (maxValue float64, err error) {
	maxValue = 1
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		if len(lines[name]) == 0 {
			continue
		}
		l, err := plotter.NewLine(lines[name])
		if err != nil {
			return 0, err
		}
		l.Color, l.Width = lineColors[i%len(lineColors)], vg.Points(1.2)
		p.Add(l)
		if legend {
			p.Legend.Add(name, l)
		}
		for _, xy := range lines[name] {
			maxValue = max(maxValue, xy.Y)
		}
	}
	return maxValue, nil
}

// addMarks marks the scenario's events and the fleet's decisions on the time axis, maxMarks of them at most.
func addMarks(p *plot.Plot, timeline []TimelineEvent, height float64) error {
	marks := 0
	for _, event := range timeline {
		lineColor, ok := markColor(event.Text)
		if !ok {
			continue
		}
		marks++
		if marks > maxMarks {
			break
		}
		l, err := plotter.NewLine(plotter.XYs{{X: event.At, Y: 0}, {X: event.At, Y: height}})
		if err != nil {
			return err
		}
		l.Color = lineColor
		l.Width = vg.Points(0.8)
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(l)
	}
	return nil
}

// markColor returns the color of the mark for a timeline entry. ok is false for entries that get no mark.
func markColor(text string) (lineColor color.Color, ok bool) {
	switch {
	case strings.Contains(text, ": zone "):
		return decisionColor, true
	case strings.Contains(text, ": ") || strings.HasPrefix(text, "plan ") || strings.HasPrefix(text, "gateway-"):
		return nil, false
	}
	return faultColor, true
}

// render returns a plot as an SVG element.
func render(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, ok := strings.Cut(b.String(), "<svg")
	if !ok {
		return "", fmt.Errorf("drill: the plotter's output has no <svg> element")
	}
	return template.HTML("<svg" + svg), nil // safe unescaped: it consists of numbers and names of this package
}
