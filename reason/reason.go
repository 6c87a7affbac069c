// Package reason keeps what the system did about each resource by itself, and
// why, so that operators can ask for the reason of a repair, a shift, a refusal
// or a take-over. It is bounded and lives in memory; the log has the same lines.
package reason

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/deed"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/reply"
)

const (
	// defaultDeeds is how many deeds of one resource are kept. Some 300 bytes
	// each, at 100 resources that is 4 MB, a thirtieth of a node's memory.
	defaultDeeds = 128
	// maxResources bounds the resources. Deeds may be noted for names that come
	// from outside, and without a bound those would fill the memory.
	maxResources = 512
	// mergeWithin is how long after its last time a like deed still adds to the
	// count. A burst of refusals is then one line, not a thousand that push
	// everything else out.
	mergeWithin = time.Minute
	// lookBack is how many of the newest deeds are looked through for a like one.
	lookBack = 8
)

type (
	// Log is safe for concurrent use. See New.
	Log struct {
		mu       sync.Mutex
		instance string
		logger   *log.Logger
		now      func() time.Time
		limit    int
		deeds    map[key][]deed.Deed
	}

	// Option changes a Log as New makes it.
	Option func(*Log)

	key struct {
		kind string
		name string
	}

	answer struct {
		Kind     string      `json:"kind"`
		Name     string      `json:"name"`
		Instance string      `json:"instance"`
		Deeds    []deed.Deed `json:"deeds"`
	}
)

// New returns an empty log of an instance.
//
//	l := reason.New("entry-1", reason.WithLog(logger))
//	l.Note(object.KindPool, "filing-lm", deed.Deed{Verb: deed.VerbShift, What: "w7 to live", Cause: "liveWaits", Why: why})
func New(instance string, opts ...Option) *Log {
	l := &Log{
		instance: instance,
		logger:   logs.New(io.Discard),
		now:      time.Now,
		limit:    defaultDeeds,
		deeds:    make(map[key][]deed.Deed),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithLog sets where deeds are logged too. The default is nowhere.
func WithLog(logger *log.Logger) Option {
	return func(l *Log) { l.logger = logger }
}

// WithClock sets where the time comes from. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(l *Log) { l.now = now }
}

// WithDeeds sets how many deeds of one resource are kept. The default is 128.
func WithDeeds(n int) Option {
	return func(l *Log) { l.limit = n }
}

// Note keeps a deed; its times, count and instance are set here.
func (l *Log) Note(kind, name string, d deed.Deed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{kind: kind, name: name}
	d.At = l.now().UTC()
	d.Last, d.Count, d.Instance = d.At, 1, l.instance
	if l.merge(k, d) {
		return
	}
	l.logger.Info(d.What, "verb", d.Verb, logs.FieldKind, kind, logs.FieldName, name, logs.FieldCause, d.Cause, "why", d.Why)
	if _, known := l.deeds[k]; !known && len(l.deeds) >= maxResources {
		l.forget()
	}
	l.deeds[k] = append(l.deeds[k], d)
	if extra := len(l.deeds[k]) - l.limit; extra > 0 {
		l.deeds[k] = slices.Delete(l.deeds[k], 0, extra)
	}
}

// Deeds returns what was done about a resource, the newest first.
func (l *Log) Deeds(kind, name string) []deed.Deed {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.deeds[key{kind: kind, name: name}]
	newest := make([]deed.Deed, 0, len(all))
	for i := len(all) - 1; i >= 0; i-- {
		newest = append(newest, all[i])
	}
	return newest
}

// Register adds GET /v1/explain/{kind}/{name} to r.
func (l *Log) Register(r *mux.Router) {
	r.HandleFunc("/v1/explain/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
		probe := object.Object{APIVersion: object.APIVersion, Kind: kind, Name: name, Spec: []byte("{}")}
		if err := probe.Validate(); err != nil {
			reply.Fail(w, err)
			return
		}
		reply.JSON(w, http.StatusOK, answer{Kind: kind, Name: name, Instance: l.instance, Deeds: l.Deeds(kind, name)})
	}).Methods(http.MethodGet)
}

// merge adds d to a recent deed of its like; the newest reason stays.
func (l *Log) merge(k key, d deed.Deed) bool {
	all := l.deeds[k]
	for i := len(all) - 1; i >= max(0, len(all)-lookBack); i-- {
		if all[i].Same(d) && d.At.Sub(all[i].Last) < mergeWithin {
			all[i].Last = d.At
			all[i].Count++
			all[i].Why = d.Why
			return true
		}
	}
	return false
}

// forget drops the resource about which nothing was done for longest.
func (l *Log) forget() {
	var oldest key
	var since time.Time
	for k, all := range l.deeds {
		last := all[len(all)-1].Last
		if since.IsZero() || last.Before(since) {
			oldest, since = k, last
		}
	}
	delete(l.deeds, oldest)
}
