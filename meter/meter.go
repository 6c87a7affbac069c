// Package meter keeps a process's metrics and serves them over HTTP.
//
// Names carry their unit, as in "live_latency_seconds"; counts end in "_total".
// Labels are pairs of name and value after the metric's name.
package meter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/reply"
	"github.com/rcrowley/go-metrics"
)

const (
	prefix = "lavendermux_"
	// defaultSeries bounds the series of one name. Labels come from outside, as
	// callers' names do; without a bound a caller that invents a name for each
	// request would fill the memory of every entry. Those beyond it share one
	// series whose labels say "other", which is how one notices.
	defaultSeries = 256
	other         = "other"
	// reservoir is how many durations of one series are kept for quantiles. The
	// standard error of a median's rank is then sqrt(0.25/256), 3%; a p99 rests on
	// the two or three greatest and only shows a tendency.
	reservoir = 256
	// decay weighs the last five minutes, the library's own choice.
	decay = 0.015
)

var (
	quantiles = []float64{0.5, 0.9, 0.99}
	escaper   = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
)

type (
	// Meter is a process's metrics; safe for concurrent use. See New.
	Meter struct {
		registry metrics.Registry
		mu       sync.RWMutex
		series   map[string]series
		counts   map[string]int
		limit    int
	}

	// Option changes a Meter as New makes it.
	Option func(*Meter)

	series struct {
		name   string
		labels string
		metric any
	}
)

// New returns a meter without metrics.
//
//	m := meter.New()
//	m.Observe("live_latency_seconds", took, "service", "case-desk")
func New(opts ...Option) *Meter {
	m := &Meter{
		registry: metrics.NewRegistry(),
		series:   make(map[string]series),
		counts:   make(map[string]int),
		limit:    defaultSeries,
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithSeries bounds the series of one name. The default is 256.
func WithSeries(n int) Option {
	return func(m *Meter) { m.limit = n }
}

// Count adds n to a count, whose name ends in "_total".
func (m *Meter) Count(name string, n int64, labels ...string) {
	s := m.find(name, labels, func() any { return metrics.NewCounter() })
	if c, ok := s.metric.(metrics.Counter); ok {
		c.Inc(n)
	}
}

// Set sets a value that goes up and down.
func (m *Meter) Set(name string, v float64, labels ...string) {
	s := m.find(name, labels, func() any { return metrics.NewGaugeFloat64() })
	if g, ok := s.metric.(metrics.GaugeFloat64); ok {
		g.Update(v)
	}
}

// Observe notes a duration; the name ends in "_seconds".
func (m *Meter) Observe(name string, d time.Duration, labels ...string) {
	s := m.find(name, labels, newHistogram)
	if h, ok := s.metric.(metrics.Histogram); ok {
		h.Update(int64(d))
	}
}

// Registry gives other users of the library their place beside these metrics.
func (m *Meter) Registry() metrics.Registry {
	return m.registry
}

// Register adds the routes to r: "/v1/metrics" answers JSON and "/metrics" the
// Prometheus text format. Each of refresh runs before an answer, to set values
// that are only worth working out when somebody asks.
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

// find returns the series of name and labels, made at its first use.
func (m *Meter) find(name string, labels []string, create func() any) series {
	key := prefix + name + render(labels)
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
	if m.counts[name] >= m.limit {
		labels = anonymous(labels)
		key = prefix + name + render(labels)
		if s, ok := m.series[key]; ok {
			return s
		}
	}
	s = series{name: prefix + name, labels: render(labels), metric: create()}
	m.series[key] = s
	m.counts[name]++
	_ = m.registry.Register(key, s.metric)
	return s
}

func (m *Meter) sorted() []series {
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
	reply.JSON(w, http.StatusOK, m.values())
}

// values returns each series under its name and labels: a number, or for
// durations their count, mean and quantiles in seconds.
func (m *Meter) values() map[string]any {
	all := make(map[string]any)
	for _, s := range m.sorted() {
		switch metric := s.metric.(type) {
		case metrics.Counter:
			all[s.name+s.labels] = metric.Count()
		case metrics.GaugeFloat64:
			all[s.name+s.labels] = metric.Value()
		case metrics.Histogram:
			all[s.name+s.labels] = summary(metric.Snapshot())
		}
	}
	return all
}

func summary(h metrics.Histogram) map[string]float64 {
	found := map[string]float64{
		"count": float64(h.Count()),
		"mean":  seconds(h.Mean()),
		"max":   seconds(float64(h.Max())),
	}
	for i, v := range h.Percentiles(quantiles) {
		found[fmt.Sprintf("p%g", quantiles[i]*100)] = seconds(v)
	}
	return found
}

func newHistogram() any {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay))
}

func seconds(nanoseconds float64) float64 {
	return nanoseconds / float64(time.Second)
}

// render writes labels as Prometheus does, or "" for none.
func render(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(labels[i] + `="` + escaper.Replace(labels[i+1]) + `"`)
	}
	return "{" + b.String() + "}"
}

func anonymous(labels []string) []string {
	hidden := slices.Clone(labels)
	for i := 1; i < len(hidden); i += 2 {
		hidden[i] = other
	}
	return hidden
}
