// Package counts keeps what one entry has counted for each objective that the
// policies declare. A report adds up several entries' counts.
//
// Counts live in memory. An entry that is replaced takes its part along, and
// the report says since when it counts.
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
	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/burn"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/policy"
	"github.com/lavendermux/lavendermux/reply"
)

const (
	// Path is where an entry answers with its counts.
	Path = "/v1/burn"
	// freshPart is the part of the staleness bound within which a sample counts
	// as fresh, as goal.Objective says.
	freshPart = 2
	internal  = "internal"
)

type (
	// Counts is safe for concurrent use. See New.
	Counts struct {
		conf     config
		instance string
		now      func() time.Time

		mu      sync.Mutex
		changed <-chan struct{}
		series  map[key]*burn.Series
	}

	// Option changes Counts as New makes them.
	Option func(*Counts)

	config interface {
		Policies() map[string]policy.Policy
		Changed() <-chan struct{}
	}

	key struct {
		policy    string
		objective goal.Objective
	}

	answer struct {
		Instance string        `json:"instance"`
		At       time.Time     `json:"at"`
		Series   []burn.Series `json:"series"`
	}
)

// New returns empty counts for the objectives of the configuration's policies.
//
//	c := counts.New("entry-1", cache)
//	c.Live("case-officer", "case-desk", took, err)
func New(instance string, conf config, opts ...Option) *Counts {
	c := &Counts{
		conf:     conf,
		instance: instance,
		now:      time.Now,
		series:   make(map[key]*burn.Series),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	return c
}

// WithClock sets where the time comes from. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(c *Counts) { c.now = now }
}

// Live counts a live request. What the caller itself got wrong, or left before
// the answer, says nothing about the promise and does not count.
func (c *Counts) Live(caller, service string, took time.Duration, err error) {
	if callersFault(err) {
		return
	}
	c.each(func(s *burn.Series, now time.Time) {
		o := s.Objective
		who := caller
		switch {
		case o.Success == 0:
			return
		case o.Caller != "" && o.Caller == caller:
			who = service
		case o.Service == "" || o.Service != service:
			return
		}
		late := o.Latency > 0 && took > o.Latency.Std()
		s.Add(now, one(err == nil && !late), blame.Blame{Who: who, Cause: causeOf(err), Bad: one(err != nil || late)})
	})
}

// Sample counts a delivered sample: how many versions its oldest weights lay
// behind, the subscription's bound, and the endpoint that made it.
func (c *Counts) Sample(subscription string, staleness, bound int64, endpoint string) {
	fresh := staleness*freshPart <= bound
	c.each(func(s *burn.Series, now time.Time) {
		if s.Objective.Subscription == subscription && s.Objective.Freshness != 0 {
			s.Add(now, one(fresh), blame.Blame{Who: endpoint, Cause: blame.Stale, Bad: one(!fresh)})
		}
	})
}

// Idle counts a stretch of a trainer's time, of which it waited a part, and who
// kept it waiting: a pool, or the cause of a refusal.
func (c *Counts) Idle(subscription string, waited, whole time.Duration, who string) {
	waited = min(max(waited, 0), whole)
	c.each(func(s *burn.Series, now time.Time) {
		if s.Objective.Subscription == subscription && s.Objective.IdleShare != 0 {
			bad := blame.Blame{Who: who, Cause: blame.Idle, Bad: waited.Milliseconds()}
			s.Add(now, (whole - waited).Milliseconds(), bad)
		}
	})
}

// Register adds GET /v1/burn to r.
func (c *Counts) Register(r *mux.Router) {
	r.HandleFunc(Path, func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, c.answer())
	}).Methods(http.MethodGet)
}

func (c *Counts) answer() answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	a := answer{Instance: c.instance, At: c.now().UTC(), Series: []burn.Series{}}
	for _, s := range c.series {
		a.Series = append(a.Series, s.Clone())
	}
	slices.SortFunc(a.Series, func(x, y burn.Series) int {
		return cmp.Or(cmp.Compare(x.Policy, y.Policy), cmp.Compare(x.Objective.Name, y.Objective.Name))
	})
	return a
}

func (c *Counts) each(f func(s *burn.Series, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	now := c.now()
	for _, s := range c.series {
		f(s, now)
	}
}

// reload follows the policies. An objective that was changed counts anew: what
// was counted under another promise says nothing about this one.
func (c *Counts) reload() {
	select {
	case <-c.changed:
	default:
		if c.changed != nil {
			return
		}
	}
	c.changed = c.conf.Changed()
	declared := make(map[key]*burn.Series)
	for name, p := range c.conf.Policies() {
		for _, o := range p.Objectives {
			k := key{policy: name, objective: o.Filled()}
			declared[k] = c.series[k]
			if declared[k] == nil {
				declared[k] = burn.New(name, o, c.now())
			}
		}
	}
	c.series = declared
}

func callersFault(err error) bool {
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
		return blame.Late
	case errors.As(err, &notRun):
		return notRun.Cause
	case errors.As(err, &unknown):
		return unknown.Cause
	}
	return internal
}

func one(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}
