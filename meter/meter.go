// Package meter collects the metrics of a process and serves them over HTTP, as JSON and
// in the Prometheus text format.
//
// Metric names end in their unit, as in "live_latency_seconds"; counters end in
// "_total". Labels are passed as pairs of name and value.
package meter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/apierr"
	"github.com/rcrowley/go-metrics"
)

const (
	namePrefix = "lavendermux_"
	// defaultMaxSeries bounds the label cardinality: the series of one metric name.
	// Some label values come from clients, as caller names do; without a bound a client
	// with a new name for each request would fill the memory of every entry. The series
	// beyond the bound share one whose label values are "other".
	defaultMaxSeries = 256
	otherLabel       = "other"
	// reservoirSize is the number of sampled durations of a series for quantiles. The
	// standard error of a median's rank is then sqrt(0.25/256), 3%; a p99 rests on the
	// two or three greatest samples and only shows a tendency.
	reservoirSize = 256
	// reservoirDecay is the library's default alpha, which favors the last five minutes.
	reservoirDecay = 0.015
)

var (
	quantiles    = []float64{0.5, 0.9, 0.99}
	labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
)

type (
	// Meter is the set of metrics of a process; safe for concurrent use. See New.
	Meter struct {
		registry     metrics.Registry
		mu           sync.RWMutex
		series       map[string]series
		seriesCounts map[string]int
		maxSeries    int
	}

	// Option configures a Meter. See New.
	Option func(*Meter)

	series struct {
		name   string
		labels string
		metric any
	}
)

// New returns an empty meter.
//
//	m := meter.New()
//	m.Observe("live_latency_seconds", took, "service", "case-desk")
func New(opts ...Option) *Meter {
	m := &Meter{
		registry:     metrics.NewRegistry(),
		series:       make(map[string]series),
		seriesCounts: make(map[string]int),
		maxSeries:    defaultMaxSeries,
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithMaxSeries bounds the number of series of one metric name. The default is 256.
func WithMaxSeries(n int) Option {
	return func(m *Meter) { m.maxSeries = n }
}

// Count adds n to a counter, whose name ends in "_total".
func (m *Meter) Count(name string, n int64, labels ...string) {
	s := m.getOrCreate(name, labels, func() any { return metrics.NewCounter() })
	if c, ok := s.metric.(metrics.Counter); ok {
		c.Inc(n)
	}
}

// Set sets a gauge.
func (m *Meter) Set(name string, v float64, labels ...string) {
	s := m.getOrCreate(name, labels, func() any { return metrics.NewGaugeFloat64() })
	if g, ok := s.metric.(metrics.GaugeFloat64); ok {
		g.Update(v)
	}
}

// Remove removes the series of name and labels.
func (m *Meter) Remove(name string, labels ...string) {
	key := namePrefix + name + renderLabels(labels)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.series[key]; ok {
		delete(m.series, key)
		m.seriesCounts[name]--
		m.registry.Unregister(key)
	}
}

// Observe adds a duration to a histogram, whose name ends in "_seconds".
func (m *Meter) Observe(name string, d time.Duration, labels ...string) {
	s := m.getOrCreate(name, labels, newHistogram)
	if h, ok := s.metric.(metrics.Histogram); ok {
		h.Update(int64(d))
	}
}

// Registry returns the underlying registry, to which other users of the library can add
// their metrics.
func (m *Meter) Registry() metrics.Registry {
	return m.registry
}

// Register adds the routes to r: "/v1/metrics" for JSON and "/metrics" for the
// Prometheus text format. Each function of refresh runs before a response, to set the
// values that are computed on demand.
func (m *Meter) Register(r *mux.Router, refresh ...func()) {
	page := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			for _, f := range refresh {
				f()
			}
			serve(w, r)
		}
	}
	r.HandleFunc("/v1/metrics", page(m.serveJSON)).Methods(http.MethodGet)
	r.HandleFunc("/metrics", page(m.serveText)).Methods(http.MethodGet)
}

// getOrCreate returns the series of name and labels, which it creates on first use.
func (m *Meter) getOrCreate(name string, labels []string, create func() any) series {
	key := namePrefix + name + renderLabels(labels)
	m.mu.RLock()
	s, ok := m.series[key]
	m.mu.RUnlock()
	if ok {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.series[key]; ok {
		return s
	}
	if m.seriesCounts[name] >= m.maxSeries {
		labels = withOtherValues(labels)
		key = namePrefix + name + renderLabels(labels)
		if s, ok := m.series[key]; ok {
			return s
		}
	}
	s = series{name: namePrefix + name, labels: renderLabels(labels), metric: create()}
	m.series[key] = s
	m.seriesCounts[name]++
	_ = m.registry.Register(key, s.metric)
	return s
}

func (m *Meter) sortedSeries() []series {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]series, 0, len(m.series))
	for _, s := range m.series {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b series) int {
		return strings.Compare(a.name+a.labels, b.name+b.labels)
	})
	return all
}

func (m *Meter) serveJSON(w http.ResponseWriter, _ *http.Request) {
	apierr.WriteJSON(w, http.StatusOK, m.snapshot())
}

// snapshot returns the value of each series by name and labels: a number, or for a
// histogram its count, mean, maximum and quantiles in seconds.
func (m *Meter) snapshot() map[string]any {
	all := make(map[string]any)
	for _, s := range m.sortedSeries() {
		switch metric := s.metric.(type) {
		case metrics.Counter:
			all[s.name+s.labels] = metric.Count()
		case metrics.GaugeFloat64:
			all[s.name+s.labels] = metric.Value()
		case metrics.Histogram:
			all[s.name+s.labels] = summarize(metric.Snapshot())
		}
	}
	return all
}

func summarize(h metrics.Histogram) map[string]float64 {
	found := map[string]float64{
		"count": float64(h.Count()),
		"mean":  toSeconds(h.Mean()),
		"max":   toSeconds(float64(h.Max())),
	}
	for i, v := range h.Percentiles(quantiles) {
		found[fmt.Sprintf("p%g", quantiles[i]*100)] = toSeconds(v)
	}
	return found
}

func newHistogram() any {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirDecay))
}

func toSeconds(nanoseconds float64) float64 {
	return nanoseconds / float64(time.Second)
}

// renderLabels formats labels in the Prometheus syntax, or returns "" for none.
func renderLabels(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(labels[i] + `="` + labelEscaper.Replace(labels[i+1]) + `"`)
	}
	return "{" + b.String() + "}"
}

func withOtherValues(labels []string) []string {
	hidden := slices.Clone(labels)
	for i := 1; i < len(hidden); i += 2 {
		hidden[i] = otherLabel
	}
	return hidden
}
