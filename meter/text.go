package meter

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const textType = "text/plain; version=0.0.4; charset=utf-8"

// serveText answers in the Prometheus text format.
func (m *Meter) serveText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textType)
	_, _ = w.Write([]byte(m.text()))
}

func (m *Meter) text() string {
	var b strings.Builder
	last := ""
	for _, s := range m.sorted() {
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
		fmt.Fprintf(b, "%s%s %s\n", s.name, s.labels, float(metric.Value()))
	case metrics.Histogram:
		h := metric.Snapshot()
		for i, v := range h.Percentiles(quantiles) {
			label := "quantile=" + strconv.Quote(float(quantiles[i]))
			fmt.Fprintf(b, "%s%s %s\n", s.name, with(s.labels, label), float(seconds(v)))
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

// with adds one rendered label to others.
func with(labels, label string) string {
	if labels == "" {
		return "{" + label + "}"
	}
	return strings.TrimSuffix(labels, "}") + "," + label + "}"
}

func float(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
