// Package admit keeps the callers of one door to their fair shares.
//
// The load it answers: a few callers send most of the load, and together more
// than there is room for. A queue that knows no callers then gives each caller
// in proportion to what it sends: who sends most gets most, and a caller with a
// single request is refused as often as one with thousands.
//
// The use of each caller, in slot time that was let in, fades over the memory.
// Work of a caller whose use exceeds an equal share (by weight) is put back in
// the queue in proportion to the excess and to its own length, so that callers
// below their share go first, and whatever they leave goes to the others,
// shorter work still before longer. Two other ways were measured and left out:
// an entry that limits callers to a measured capacity lowers the capacity that
// it measures, and a fixed delay for each excess makes the queue of the heavy
// callers first come, first served. Figures are in docs/measured/load.md.
package admit

import (
	"math"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/work"
)

const (
	// CauseShare is the cause of a refusal of a caller beyond its greatest share.
	CauseShare = "overShare"

	defaultMemory  = 30.0
	defaultPenalty = 0.5
	// A caller whose use has faded to this many slot seconds is forgotten.
	forgotten = 0.01
)

type (
	// Admit is what one door knows of its callers' use. It isn't safe for
	// concurrent use.
	Admit struct {
		weights   map[string]float64
		maxShares map[string]float64
		memory    float64
		penalty   float64
		callers   map[string]*caller
		// total is the sum of all use, and weight that of the callers' weights.
		total  float64
		weight float64
		last   time.Time
	}

	caller struct {
		use float64
	}
)

// New returns an Admit that has seen no work.
//
//	a := admit.New(admit.WithWeight("registry", 2))
//	excess := a.Excess(w, now)
func New(opts ...Option) *Admit {
	a := &Admit{
		weights:   map[string]float64{},
		maxShares: map[string]float64{},
		memory:    defaultMemory,
		penalty:   defaultPenalty,
		callers:   map[string]*caller{},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Admit refuses work of a caller that uses more than its greatest share of the
// slots, with a *fault.NotRunError.
func (a *Admit) Admit(w work.Work, slots int, now time.Time) error {
	share, ok := a.maxShares[w.Caller]
	if !ok || share >= 1 {
		return nil
	}
	a.fade(now)
	// Use in equilibrium is the rate of use times the memory.
	most := share * float64(slots) * a.memory
	used := a.use(w.Caller)
	if used <= most {
		return nil
	}
	return &fault.NotRunError{
		Cause:      CauseShare,
		Reason:     "the caller uses more than its greatest share of the slots",
		RetryAfter: time.Duration(a.memory * math.Log(used/most) * float64(time.Second)),
	}
}

// Excess returns by how much the caller's use exceeds its fair share, times the
// penalty: 0 for a caller within its share. The queue orders by it.
func (a *Admit) Excess(w work.Work, now time.Time) float64 {
	a.fade(now)
	c, ok := a.callers[w.Caller]
	if !ok || a.total <= 0 {
		return 0
	}
	fair := a.total * a.weightOf(w.Caller) / a.weight
	return max(c.use/fair-1, 0) * a.penalty
}

// Charge counts work that was let in, with the slot time that it is expected to
// take.
func (a *Admit) Charge(w work.Work, service time.Duration, now time.Time) {
	a.fade(now)
	c, ok := a.callers[w.Caller]
	if !ok {
		c = &caller{}
		a.callers[w.Caller] = c
		a.weight += a.weightOf(w.Caller)
	}
	c.use += service.Seconds()
	a.total += service.Seconds()
}

// Refund takes back a Charge for work that was given up before it ran.
func (a *Admit) Refund(w work.Work, service time.Duration, now time.Time) {
	a.fade(now)
	c, ok := a.callers[w.Caller]
	if !ok {
		return
	}
	back := min(service.Seconds(), c.use)
	c.use -= back
	a.total -= back
}

func (a *Admit) weightOf(name string) float64 {
	if weight, ok := a.weights[name]; ok && weight > 0 {
		return weight
	}
	return 1
}

func (a *Admit) use(name string) float64 {
	if c, ok := a.callers[name]; ok {
		return c.use
	}
	return 0
}

// fadeStep bounds how often the uses are faded: for each decision it would cost
// a walk over all callers.
const fadeStep = 100 * time.Millisecond

func (a *Admit) fade(now time.Time) {
	passed := now.Sub(a.last)
	if passed < fadeStep {
		return
	}
	a.last = now
	keep := math.Exp(-passed.Seconds() / a.memory)
	a.total, a.weight = 0, 0
	for name, c := range a.callers {
		c.use *= keep
		if c.use < forgotten {
			delete(a.callers, name)
			continue
		}
		a.total += c.use
		a.weight += a.weightOf(name)
	}
}
