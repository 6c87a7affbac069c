// Package counts counts the good and bad events of each service-level objective (SLO) at
// one entry. A report merges the counts of several entries.
//
// Counts are in memory only. A restart of the entry loses them; the report shows the
// start of counting.
package counts

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/burn"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/policy"
)

const (
	// Path is the HTTP path at which an entry serves its counts.
	Path = "/v1/burn"
	// freshBoundDivisor divides the staleness bound: a sample is fresh within half the
	// bound. See goal.Objective.
	freshBoundDivisor = 2
	causeInternal     = "internal"
)

type (
	// Recorder counts the events of one entry; safe for concurrent use. See New.
	Recorder struct {
		conf     config
		instance string
		now      func() time.Time

		mu      sync.Mutex
		changed <-chan struct{}
		series  map[seriesKey]*burn.Series
	}

	// Option configures a Recorder. See New.
	Option func(*Recorder)

	config interface {
		Policies() map[string]policy.Policy
		Changed() <-chan struct{}
	}

	seriesKey struct {
		policy    string
		objective goal.Objective
	}

	burnResponse struct {
		Instance string        `json:"instance"`
		At       time.Time     `json:"at"`
		Series   []burn.Series `json:"series"`
	}
)

// New returns an empty Recorder for the objectives of the configuration's policies.
//
//	c := counts.New("entry-1", cache)
//	c.Live("case-officer", "case-desk", took, err)
func New(instance string, conf config, opts ...Option) *Recorder {
	c := &Recorder{
		conf:     conf,
		instance: instance,
		now:      time.Now,
		series:   make(map[seriesKey]*burn.Series),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	return c
}

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(c *Recorder) { c.now = now }
}

// Live counts a live request. A request that was invalid or canceled by its caller says
// nothing about the objective and is not counted.
func (c *Recorder) Live(caller, service string, took time.Duration, err error) {
	if isCallerError(err) {
		return
	}
	c.updateAll(func(s *burn.Series, now time.Time) {
		o := s.Objective
		party := caller
		switch {
		case o.Success == 0:
			return
		case o.Caller != "" && o.Caller == caller:
			party = service
		case o.Service == "" || o.Service != service:
			return
		}
		late := o.Latency > 0 && took > o.Latency.Std()
		s.Add(now, boolToInt(err == nil && !late), blame.Blame{Who: party, Cause: causeOf(err), Bad: boolToInt(err != nil || late)})
	})
}

// Sample counts a delivered sample. The staleness of its oldest tokens and the bound of
// the subscription are in weight versions; endpoint is where it was generated.
func (c *Recorder) Sample(subscription string, staleness, bound int64, endpoint string) {
	fresh := staleness*freshBoundDivisor <= bound
	c.updateAll(func(s *burn.Series, now time.Time) {
		if s.Objective.Subscription == subscription && s.Objective.Freshness != 0 {
			s.Add(now, boolToInt(fresh), blame.Blame{Who: endpoint, Cause: blame.CauseStale, Bad: boolToInt(!fresh)})
		}
	})
}

// Idle counts a period of a trainer's time: its length, the part of it that the trainer
// waited, and what it waited for, a pool or the cause of a rejection.
func (c *Recorder) Idle(subscription string, waited, total time.Duration, party string) {
	waited = min(max(waited, 0), total)
	c.updateAll(func(s *burn.Series, now time.Time) {
		if s.Objective.Subscription == subscription && s.Objective.IdleShare != 0 {
			bad := blame.Blame{Who: party, Cause: blame.CauseIdle, Bad: waited.Milliseconds()}
			s.Add(now, (total - waited).Milliseconds(), bad)
		}
	})
}

// Register adds GET /v1/burn to r.
func (c *Recorder) Register(r *mux.Router) {
	r.HandleFunc(Path, func(w http.ResponseWriter, _ *http.Request) {
		apierr.WriteJSON(w, http.StatusOK, c.burnResponse())
	}).Methods(http.MethodGet)
}

func (c *Recorder) burnResponse() burnResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	a := burnResponse{Instance: c.instance, At: c.now().UTC(), Series: []burn.Series{}}
	for _, s := range c.series {
		a.Series = append(a.Series, s.Clone())
	}
	slices.SortFunc(a.Series, func(x, y burn.Series) int {
		return cmp.Or(cmp.Compare(x.Policy, y.Policy), cmp.Compare(x.Objective.Name, y.Objective.Name))
	})
	return a
}

func (c *Recorder) updateAll(f func(s *burn.Series, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	now := c.now()
	for _, s := range c.series {
		f(s, now)
	}
}

// reload updates the series after a change of the policies. A changed objective starts
// with an empty series: the counts of the old one say nothing about it.
func (c *Recorder) reload() {
	select {
	case <-c.changed:
	default:
		if c.changed != nil {
			return
		}
	}
	c.changed = c.conf.Changed()
	declared := make(map[seriesKey]*burn.Series)
	for name, p := range c.conf.Policies() {
		for _, o := range p.Objectives {
			k := seriesKey{policy: name, objective: o.WithDefaults()}
			declared[k] = c.series[k]
			if declared[k] == nil {
				declared[k] = burn.New(name, o, c.now())
			}
		}
	}
	c.series = declared
}

func isCallerError(err error) bool {
	var (
		field   *fault.FieldError
		missing *fault.NotFoundError
	)
	return errors.As(err, &field) || errors.As(err, &missing) || errors.Is(err, context.Canceled)
}

func causeOf(err error) string {
	var (
		notRun  *fault.NotRunError
		unknown *fault.UnknownOutcomeError
	)
	switch {
	case err == nil:
		return blame.CauseLate
	case errors.As(err, &notRun):
		return notRun.Cause
	case errors.As(err, &unknown):
		return unknown.Cause
	}
	return causeInternal
}

func boolToInt(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}
