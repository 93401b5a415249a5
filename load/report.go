package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"

	"github.com/wcharczuk/go-chart/v2"
)

// Result is the result of a scenario, with one summary per policy set.
type Result struct {
	Scenario  string    `json:"scenario"`
	Seed      uint64    `json:"seed"`
	Summaries []Summary `json:"summaries"`
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// metric is one row of the printed table.
type metric struct {
	name   string
	unit   string
	value  func(*Summary) float64
	format string
}

var metrics = []metric{
	{"p50", "ms", func(s *Summary) float64 { return s.P50Ms }, "%.2f"},
	{"p99", "ms", func(s *Summary) float64 { return s.P99Ms }, "%.2f"},
	{"p99.9", "ms", func(s *Summary) float64 { return s.P999Ms }, "%.2f"},
	{"coverage", "fraction", func(s *Summary) float64 { return s.Coverage }, "%.4f"},
	{"extra load", "fraction", func(s *Summary) float64 { return s.ExtraLoad }, "%.4f"},
	{"sent", "requests", func(s *Summary) float64 { return float64(s.Sent) }, "%.0f"},
	{"answered whole", "requests", func(s *Summary) float64 { return float64(s.Good) }, "%.0f"},
	{"upstream requests", "requests", func(s *Summary) float64 { return float64(s.Upstreams.Requests) }, "%.0f"},
	{"shed by upstreams", "requests", func(s *Summary) float64 { return float64(s.Upstreams.Shed) }, "%.0f"},
	{"cold-start falls", "falls", func(s *Summary) float64 { return float64(s.Upstreams.Falls) }, "%.0f"},
	{"over slots", "upstreams", func(s *Summary) float64 { return float64(s.Upstreams.OverSlots) }, "%.0f"},
	{"over connections", "upstreams", func(s *Summary) float64 { return float64(s.Upstreams.OverConnections) }, "%.0f"},
	{"processor a sub-query", "us", func(s *Summary) float64 { return s.Cost.ProcessorPerSubQueryUs }, "%.1f"},
	{"processor a host", "cores", func(s *Summary) float64 { return s.Cost.ProcessorCores }, "%.3f"},
	{"memory a host", "MB", func(s *Summary) float64 { return s.Cost.ResidentMB }, "%.1f"},
	{"ran twice", "requests", func(s *Summary) float64 { return float64(s.Upstreams.RunTwice) }, "%.0f"},
}

// WriteTable prints one row per metric and one column per policy set. With
// exactly two policy sets, a last column shows the second value over the first.
func (r *Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "measure\tunit")
	for i := range r.Summaries {
		_, _ = fmt.Fprintf(table, "\t%s", r.Summaries[i].Policy)
	}
	if len(r.Summaries) == 2 {
		_, _ = fmt.Fprintf(table, "\t%s/%s", r.Summaries[1].Policy, r.Summaries[0].Policy)
	}
	_, _ = fmt.Fprintln(table)
	for _, m := range metrics {
		r.writeRow(table, m)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeLastWork(w)
}

// writeLastWork prints Summary.LastWorkMs for each policy set.
func (r *Result) writeLastWork(w io.Writer) error {
	for i := range r.Summaries {
		for domain, ms := range r.Summaries[i].LastWorkMs {
			_, err := fmt.Fprintf(w, "%s: last new work in %s %.0f ms after it was taken out\n", r.Summaries[i].Policy, domain, ms)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Result) writeRow(table io.Writer, m metric) {
	_, _ = fmt.Fprintf(table, "%s\t%s", m.name, m.unit)
	for i := range r.Summaries {
		_, _ = fmt.Fprintf(table, "\t"+m.format, m.value(&r.Summaries[i]))
	}
	if len(r.Summaries) == 2 {
		_, _ = fmt.Fprintf(table, "\t%s", formatRatio(m.value(&r.Summaries[1]), m.value(&r.Summaries[0])))
	}
	_, _ = fmt.Fprintln(table)
}

func formatRatio(numerator, denominator float64) string {
	if denominator == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", numerator/denominator)
}

// timelineMetrics are the values that the HTML report plots over time.
var timelineMetrics = []struct {
	title string
	value func(Point) float64
}{
	{"p99 of whole answers, ms", func(p Point) float64 { return p.P99Ms }},
	{"answered whole, requests a second", func(p Point) float64 { return float64(p.Good) }},
	{"coverage, fraction", func(p Point) float64 { return p.Coverage }},
	{"extra load, fraction", func(p Point) float64 { return p.ExtraLoad }},
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>samphirebeam: {{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{background:#f4f4f4;padding:1em}</style>
<h1>{{.Name}}</h1><p>Seed {{.Seed}}. Latency is from the intended send time; the quantiles are of whole answers.</p>
<pre>{{.Table}}</pre>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
</html>
`))

type plot struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes a self-contained page with the table and the timelines as
// inline SVG.
func (r *Result) WriteHTML(w io.Writer) error {
	var table bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		return err
	}
	var plots []plot
	for _, t := range timelineMetrics {
		svg, err := r.renderTimeline(t.value)
		if err != nil {
			return err
		}
		plots = append(plots, plot{Title: t.title, SVG: template.HTML(svg)}) //nolint:gosec // SVG rendered above
	}
	return reportPage.Execute(w, map[string]any{
		"Name": r.Scenario, "Seed": r.Seed, "Table": table.String(), "Plots": plots,
	})
}

// renderTimeline plots one value per second as SVG, with a line per policy set.
func (r *Result) renderTimeline(value func(Point) float64) (string, error) {
	graph := chart.Chart{Width: 900, Height: 260}
	for i := range r.Summaries {
		line := chart.ContinuousSeries{Name: r.Summaries[i].Policy}
		for _, p := range r.Summaries[i].Timeline {
			line.XValues = append(line.XValues, float64(p.Second))
			line.YValues = append(line.YValues, value(p))
		}
		if len(line.XValues) < 2 {
			continue // go-chart requires at least two points per series
		}
		graph.Series = append(graph.Series, line)
	}
	if len(graph.Series) == 0 {
		return "", nil
	}
	graph.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: r.maxValue(value) * 1.05}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	var out bytes.Buffer
	err := graph.Render(chart.SVG, &out)
	return out.String(), err
}

// maxValue returns the largest value over all timelines, but at least a small
// positive number, since go-chart rejects an empty axis range.
func (r *Result) maxValue(value func(Point) float64) float64 {
	highest := 0.001
	for i := range r.Summaries {
		for _, p := range r.Summaries[i].Timeline {
			highest = max(highest, value(p))
		}
	}
	return highest
}
