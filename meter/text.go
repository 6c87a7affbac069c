package meter

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const textContentType = "text/plain; version=0.0.4; charset=utf-8"

// serveText serves the metrics in the Prometheus text format.
func (m *Meter) serveText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textContentType)
	_, _ = w.Write([]byte(m.text()))
}

func (m *Meter) text() string {
	var b strings.Builder
	last := ""
	for _, s := range m.sortedSeries() {
		if s.name != last {
			fmt.Fprintf(&b, "# TYPE %s %s\n", s.name, typeOf(s.metric))
			last = s.name
		}
		writeSeries(&b, s)
	}
	return b.String()
}

func writeSeries(b *strings.Builder, s series) {
	switch metric := s.metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(b, "%s%s %d\n", s.name, s.labels, metric.Count())
	case metrics.GaugeFloat64:
		fmt.Fprintf(b, "%s%s %s\n", s.name, s.labels, formatFloat(metric.Value()))
	case metrics.Histogram:
		h := metric.Snapshot()
		for i, v := range h.Percentiles(quantiles) {
			label := "quantile=" + strconv.Quote(formatFloat(quantiles[i]))
			fmt.Fprintf(b, "%s%s %s\n", s.name, appendLabel(s.labels, label), formatFloat(toSeconds(v)))
		}
		fmt.Fprintf(b, "%s_count%s %d\n", s.name, s.labels, h.Count())
	}
}

func typeOf(metric any) string {
	switch metric.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Histogram:
		return "summary"
	}
	return "gauge"
}

// appendLabel adds one formatted label to formatted labels.
func appendLabel(labels, label string) string {
	if labels == "" {
		return "{" + label + "}"
	}
	return strings.TrimSuffix(labels, "}") + "," + label + "}"
}

func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
