package measure

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotHeight = 7 * vg.Centimeter
	plotWidth  = 14 * vg.Centimeter
)

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>nutmegpier measurements</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 0.2em 0.6em; text-align: left; }
td.number { text-align: right; }
</style>
</head>
<body>
<h1>nutmegpier measurements</h1>
<p>Command: <code>{{.Command}}</code>. Seed {{.Seed}}, version {{.Version}}, started {{.Started}}, {{.Machine}}.</p>
{{range .Sections}}
<h2>{{.Title}}</h2>
<table>
<tr><th>Variant</th><th>Figure</th><th>Median</th><th>Least</th><th>Largest</th><th>Samples</th><th>Unit</th></tr>
{{range .Rows}}<tr><td>{{.Variant}}</td><td>{{.Figure}}</td><td class="number">{{.Median}}</td><td class="number">{{.Least}}</td><td class="number">{{.Largest}}</td><td class="number">{{.Samples}}</td><td>{{.Unit}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}{{end}}
{{end}}
</body>
</html>
`))

// reportPage is the data of the template.
type reportPage struct {
	Command  string
	Machine  string
	Sections []*reportSection
	Seed     uint64
	Started  string
	Version  string
}

// reportRow is a table row with the statistics of one figure.
type reportRow struct {
	Figure  string
	Largest string
	Least   string
	Median  string
	Samples int
	Unit    Unit
	Variant string
}

// reportSection is the section of one scenario on one deployment.
type reportSection struct {
	Plots []template.HTML
	Rows  []reportRow
	Title string

	lines []plotLine
}

// plotLine is a line of a plot: the series of one variant.
type plotLine struct {
	series  Series
	variant string
}

// WriteReport writes the result as an HTML page with a table and SVG plots for each
// scenario.
func WriteReport(w io.Writer, result *Result) error {
	page := reportPage{
		Command: result.Command,
		Machine: result.Machine,
		Seed:    result.Seed,
		Started: result.Started.Format("2006-01-02 15:04:05 MST"),
		Version: result.Version,
	}
	for _, scenario := range result.Scenarios {
		section := page.section(strings.TrimSpace(scenario.Deployment + " " + scenario.Scenario))
		section.addScenario(scenario)
	}
	for _, section := range page.Sections {
		if err := section.drawPlots(); err != nil {
			return &Error{Op: "draw " + section.Title, Kind: KindRun, Err: err}
		}
	}
	if err := reportTemplate.Execute(w, page); err != nil {
		return &Error{Op: "write report", Kind: KindRun, Err: err}
	}
	return nil
}

// section returns the section with the title, which it adds if there is none.
func (p *reportPage) section(title string) *reportSection {
	for _, section := range p.Sections {
		if section.Title == title {
			return section
		}
	}
	section := &reportSection{Title: title}
	p.Sections = append(p.Sections, section)
	return section
}

func (s *reportSection) addScenario(scenario ScenarioResult) {
	for _, figure := range scenario.Figures {
		s.Rows = append(s.Rows, newReportRow(scenario.Variant, figure))
	}
	for _, series := range scenario.Series {
		s.lines = append(s.lines, plotLine{series: series, variant: scenario.Variant})
	}
}

// drawPlots draws one plot for each series name, with a line for each variant.
func (s *reportSection) drawPlots() error {
	drawn := make(map[string]bool)
	for _, line := range s.lines {
		if drawn[line.series.Name] {
			continue
		}
		drawn[line.series.Name] = true
		svg, err := s.plot(line.series)
		if err != nil {
			return err
		}
		s.Plots = append(s.Plots, svg)
	}
	return nil
}

// plot draws all series that have the same name as the given one, whose labels it uses.
func (s *reportSection) plot(axes Series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = axes.Name
	p.X.Label.Text = axes.XLabel
	p.Y.Label.Text = axes.YLabel
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, line := range s.lines {
		if line.series.Name == axes.Name {
			lines = append(lines, line.variant, plotPoints(line.series))
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return "", fmt.Errorf("plot %s: %w", axes.Name, err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", fmt.Errorf("plot %s: %w", axes.Name, err)
	}
	_, svg, found := strings.Cut(buffer.String(), "<svg")
	if !found {
		return "", fmt.Errorf("plot %s: the output has no SVG element", axes.Name)
	}
	return template.HTML("<svg" + svg), nil
}

func newReportRow(variant string, figure Figure) reportRow {
	least, largest := math.Inf(1), math.Inf(-1)
	for _, sample := range figure.Samples {
		least = min(least, sample)
		largest = max(largest, sample)
	}
	return reportRow{
		Figure:  figure.Name,
		Largest: formatNumber(largest),
		Least:   formatNumber(least),
		Median:  formatNumber(Median(figure.Samples)),
		Samples: len(figure.Samples),
		Unit:    figure.Unit,
		Variant: variant,
	}
}

func formatNumber(value float64) string {
	if math.IsInf(value, 0) || math.IsNaN(value) {
		return "none"
	}
	return fmt.Sprintf("%.4g", value)
}

func plotPoints(series Series) plotter.XYs {
	points := make(plotter.XYs, len(series.Points))
	for i, point := range series.Points {
		points[i].X = point.X
		points[i].Y = point.Y
	}
	return points
}
