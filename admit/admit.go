// Package admit decides which callers' work an entry lets in.
//
// The load it answers: a few callers send most of the load, and together more
// than there is room for. The doors then refuse work as it comes, so that each
// caller gets in proportion to what it sends: who sends most gets most, and a
// caller with a single request is refused as often as one with thousands.
//
// While the doors refuse, the entry measures what they take in (the capacity)
// and what each caller sends (its demand), and divides the capacity by max-min
// fairness: a caller that asks for less than its share gets all that it asks
// for, the others share the rest by weight. Live work is divided first, rollouts
// get what it leaves. While no door refuses, all is let in.
package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/work"
)

const (
	// CauseShare is the cause of a refusal of a caller beyond its fair share.
	CauseShare = "overShare"

	defaultMemory   = 10.0
	defaultHeadroom = 0.1
	defaultMean     = 256

	// The doors are taken to be saturated while they refuse more than this
	// share of what is sent to them.
	saturatedShare = 0.02
	// The division is made anew this often in each memory.
	divisions = 50
	// A caller may save up this many seconds of its rate, and at least one
	// piece of work: requests don't come evenly.
	saved = 1.0
	// A caller that sends nothing for this many memories is forgotten.
	forget = 5
)

type (
	// Admit is what one entry knows of its callers' demand and of the capacity
	// behind it. It isn't safe for concurrent use.
	Admit struct {
		weights   map[string]float64
		maxShares map[string]float64
		memory    float64
		headroom  float64
		mean      float64
		kinds     [2]kind
		sent      meter
		refused   meter
		divided   time.Time
		order     []*caller
	}

	// kind is the callers of live work, or those of rollouts.
	kind struct {
		callers  map[string]*caller
		accepted meter
		limited  bool
	}

	caller struct {
		name   string
		demand meter
		weight float64
		share  float64
		// rate is what the caller gets, in tokens a second.
		rate   float64
		credit float64
		at     time.Time
	}
)

// New returns an Admit that has seen no work.
//
//	a := admit.New(admit.WithWeight("registry", 2))
//	if err := a.Admit(w, now); err != nil { refuse(err) }
func New(opts ...Option) *Admit {
	a := &Admit{
		weights:   map[string]float64{},
		maxShares: map[string]float64{},
		memory:    defaultMemory,
		headroom:  defaultHeadroom,
		mean:      defaultMean,
	}
	for i := range a.kinds {
		a.kinds[i].callers = map[string]*caller{}
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Admit lets work in or refuses it with a *fault.NotRunError.
func (a *Admit) Admit(w work.Work, now time.Time) error {
	cost := a.cost(w)
	k := a.kind(w)
	c := a.get(k, w.Caller)
	c.demand.add(cost, now, a.memory)
	a.divide(now)
	if !k.limited {
		return nil
	}
	c.refill(cost, now)
	if c.credit >= cost {
		c.credit -= cost
		return nil
	}
	return &fault.NotRunError{
		Cause:      CauseShare,
		Reason:     "the caller has used its share of what the endpoints can do",
		RetryAfter: c.wait(cost),
	}
}

// Observe learns how the doors answered work that was let in: with nil when one
// took it in, with a *fault.NotRunError when all that were asked refused.
func (a *Admit) Observe(w work.Work, err error, now time.Time) {
	cost := a.cost(w)
	a.sent.add(cost, now, a.memory)
	var notRun *fault.NotRunError
	if errors.As(err, &notRun) {
		a.refused.add(cost, now, a.memory)
		return
	}
	a.kind(w).accepted.add(cost, now, a.memory)
}

// Saturated reports whether callers are held to their share.
func (a *Admit) Saturated(now time.Time) bool {
	return a.refused.at(now, a.memory) > saturatedShare*a.sent.at(now, a.memory)
}

func (a *Admit) cost(w work.Work) float64 {
	if w.Tokens > 0 {
		return float64(w.Tokens)
	}
	return a.mean
}

func (a *Admit) kind(w work.Work) *kind {
	if w.Live() {
		return &a.kinds[0]
	}
	return &a.kinds[1]
}

func (a *Admit) get(k *kind, name string) *caller {
	c, ok := k.callers[name]
	if !ok {
		c = &caller{name: name, weight: 1, share: 1, rate: math.Inf(1)}
		if w, has := a.weights[name]; has {
			c.weight = w
		}
		if s, has := a.maxShares[name]; has {
			c.share = s
		}
		k.callers[name] = c
	}
	return c
}

// divide gives each caller its rate, live work first.
func (a *Admit) divide(now time.Time) {
	if now.Sub(a.divided).Seconds() < a.memory/divisions {
		return
	}
	a.divided = now
	saturated := a.Saturated(now)
	capacity := 0.0
	for i := range a.kinds {
		capacity += a.kinds[i].accepted.at(now, a.memory)
	}
	left := capacity * (1 + a.headroom)
	for i := range a.kinds {
		k := &a.kinds[i]
		a.forget(k, now)
		k.limited = saturated
		if saturated {
			left -= a.fill(k, left, now)
		}
	}
}

func (a *Admit) forget(k *kind, now time.Time) {
	for name, c := range k.callers {
		if now.Sub(c.demand.last).Seconds() > forget*a.memory {
			delete(k.callers, name)
		}
	}
}

// fill divides the capacity among the callers of one kind by max-min fairness
// and returns how much of it they use. In the order of demand by weight, each
// caller gets its demand or an equal share of what is left, whichever is less.
func (a *Admit) fill(k *kind, capacity float64, now time.Time) float64 {
	a.order = a.order[:0]
	weights := 0.0
	for _, c := range k.callers {
		c.rate = c.demand.at(now, a.memory)
		weights += c.weight
		a.order = append(a.order, c)
	}
	slices.SortFunc(a.order, func(x, y *caller) int {
		if d := cmp.Compare(x.rate/x.weight, y.rate/y.weight); d != 0 {
			return d
		}
		return cmp.Compare(x.name, y.name)
	})
	left := capacity
	for _, c := range a.order {
		fair := left * c.weight / weights
		weights -= c.weight
		used := min(c.rate, fair, c.share*capacity)
		left -= used
		// A caller below its share may grow to it.
		c.rate = min(max(used, fair), c.share*capacity)
	}
	return capacity - left
}
