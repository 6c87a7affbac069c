// Package audit keeps an audit log of the automatic actions on each resource and their
// reasons, so that operators can look up why a repair, reassignment, rejection or
// failover took place. The log is bounded and in memory; the actions are also written
// to the process log.
package audit

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/object"
)

const (
	// defaultMaxActions bounds the actions that are kept for a resource. At some 300
	// bytes each, 100 resources take 4 MB, a thirtieth of a node's memory.
	defaultMaxActions = 128
	// maxResources bounds the resources. Actions may be recorded for names that come
	// from clients, which could otherwise exhaust the memory.
	maxResources = 512
	// mergeWindow is the time after an action within which a repetition only increments
	// its count. A burst of rejections is then one line instead of a thousand that evict
	// everything else.
	mergeWindow = time.Minute
	// mergeLookback is how many of the newest actions are searched for a repetition.
	mergeLookback = 8
)

type (
	// Log holds the automatic actions of one instance by resource. It is safe for
	// concurrent use. See New.
	Log struct {
		mu         sync.Mutex
		instance   string
		logger     *log.Logger
		now        func() time.Time
		maxActions int
		actions    map[key][]acts.Action
	}

	// Option configures a Log; see New.
	Option func(*Log)

	key struct {
		kind string
		name string
	}

	explainResponse struct {
		Kind     string        `json:"kind"`
		Name     string        `json:"name"`
		Instance string        `json:"instance"`
		Actions  []acts.Action `json:"deeds"`
	}
)

// New returns an empty log of an instance.
//
//	l := audit.New("entry-1", audit.WithLog(logger))
//	l.Record(object.KindPool, "filing-lm", acts.Action{Verb: acts.VerbReassign, Summary: "w7 to live", Cause: "liveWaits", Reason: reason})
func New(instance string, opts ...Option) *Log {
	l := &Log{
		instance:   instance,
		logger:     logs.New(io.Discard),
		now:        time.Now,
		maxActions: defaultMaxActions,
		actions:    make(map[key][]acts.Action),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithLog sets the logger that actions are also written to. By default they are not.
func WithLog(logger *log.Logger) Option {
	return func(l *Log) { l.logger = logger }
}

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(l *Log) { l.now = now }
}

// WithMaxActions sets the maximum number of actions that are kept for a resource. The default
// is 128.
func WithMaxActions(n int) Option {
	return func(l *Log) { l.maxActions = n }
}

// Record records an action on a resource and sets its times, count and instance.
func (l *Log) Record(kind, name string, d acts.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{kind: kind, name: name}
	d.FirstAt = l.now().UTC()
	d.LastAt, d.Count, d.Instance = d.FirstAt, 1, l.instance
	if l.merge(k, d) {
		return
	}
	l.logger.Info(d.Summary, "verb", d.Verb, logs.FieldKind, kind, logs.FieldName, name, logs.FieldCause, d.Cause, "why", d.Reason)
	if _, known := l.actions[k]; !known && len(l.actions) >= maxResources {
		l.evictOldest()
	}
	l.actions[k] = append(l.actions[k], d)
	if excess := len(l.actions[k]) - l.maxActions; excess > 0 {
		l.actions[k] = slices.Delete(l.actions[k], 0, excess)
	}
}

// Actions returns the actions on a resource, the newest first.
func (l *Log) Actions(kind, name string) []acts.Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.actions[key{kind: kind, name: name}]
	newest := make([]acts.Action, 0, len(all))
	for i := len(all) - 1; i >= 0; i-- {
		newest = append(newest, all[i])
	}
	return newest
}

// Register adds GET /v1/explain/{kind}/{name} to r.
func (l *Log) Register(r *mux.Router) {
	r.HandleFunc("/v1/explain/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
		envelope := object.Object{APIVersion: object.APIVersion, Kind: kind, Name: name, Spec: []byte("{}")}
		if err := envelope.Validate(); err != nil {
			apierr.WriteError(w, err)
			return
		}
		apierr.WriteJSON(w, http.StatusOK, explainResponse{Kind: kind, Name: name, Instance: l.instance, Actions: l.Actions(kind, name)})
	}).Methods(http.MethodGet)
}

// merge adds d to a recent action that it repeats, with the reason of d, and reports
// whether there was one.
func (l *Log) merge(k key, d acts.Action) bool {
	all := l.actions[k]
	for i := len(all) - 1; i >= max(0, len(all)-mergeLookback); i-- {
		if all[i].Equivalent(d) && d.FirstAt.Sub(all[i].LastAt) < mergeWindow {
			all[i].LastAt = d.FirstAt
			all[i].Count++
			all[i].Reason = d.Reason
			return true
		}
	}
	return false
}

// evictOldest removes the resource whose last action is the oldest.
func (l *Log) evictOldest() {
	var oldest key
	var since time.Time
	for k, all := range l.actions {
		last := all[len(all)-1].LastAt
		if since.IsZero() || last.Before(since) {
			oldest, since = k, last
		}
	}
	delete(l.actions, oldest)
}
