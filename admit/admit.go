// Package admit accounts for the slot time that each caller of an endpoint uses
// and enforces weighted fair shares.
//
// Without it, when a few callers send most of an overload, each caller is served
// in proportion to what it sends, and a caller with a single request is refused
// as often as one with thousands.
//
// A caller's use is the expected slot time of its admitted work; it decays
// exponentially. Work of a caller whose use exceeds its weighted fair share moves
// back in the queue in proportion to the excess and to its own service time.
// Callers below their share therefore go first, the remaining capacity goes to
// the others, and shorter work still precedes longer work.
//
// Two alternatives are not used: limiting callers to a measured capacity lowers
// the capacity that is measured, and a fixed delay for each excess turns the
// queue of the heavy callers into first come, first served. See
// docs/measured/load.md for figures.
package admit

import (
	"math"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/work"
)

const (
	// CauseOverShare is the refusal cause for a caller above its maximum share.
	CauseOverShare = "overShare"

	defaultTimeConstantSeconds = 30.0
	defaultPenalty             = 0.5
	// minUseSeconds is the use below which a caller is removed.
	minUseSeconds = 0.01
)

type (
	// Admit tracks the callers of one endpoint. It is not safe for concurrent use.
	Admit struct {
		weights      map[string]float64
		maxShares    map[string]float64
		timeConstant float64
		penalty      float64
		callers      map[string]*caller
		// totalUse is the sum of the use of all callers, totalWeight that of their
		// weights.
		totalUse    float64
		totalWeight float64
		lastDecay   time.Time
	}

	caller struct {
		use float64
	}
)

// New returns the accounting of an endpoint without any recorded use.
//
//	a := admit.New(admit.WithWeight("registry", 2))
//	excess := a.Excess(w, now)
func New(opts ...Option) *Admit {
	a := &Admit{
		weights:      map[string]float64{},
		maxShares:    map[string]float64{},
		timeConstant: defaultTimeConstantSeconds,
		penalty:      defaultPenalty,
		callers:      map[string]*caller{},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Admit returns a *fault.NotRunError when the caller's use exceeds its maximum
// share of the slots.
func (a *Admit) Admit(w work.Work, slots int, now time.Time) error {
	share, ok := a.maxShares[w.Caller]
	if !ok || share >= 1 {
		return nil
	}
	a.decay(now)
	// In steady state, use equals the rate of use times the time constant.
	limit := share * float64(slots) * a.timeConstant
	used := a.use(w.Caller)
	if used <= limit {
		return nil
	}
	return &fault.NotRunError{
		Cause:      CauseOverShare,
		Reason:     "the caller uses more than its greatest share of the slots",
		RetryAfter: time.Duration(a.timeConstant * math.Log(used/limit) * float64(time.Second)),
	}
}

// Excess returns the relative excess of the caller's use over its fair share,
// multiplied by the penalty. It is 0 for a caller within its share. The queue
// orders by it.
func (a *Admit) Excess(w work.Work, now time.Time) float64 {
	a.decay(now)
	c, ok := a.callers[w.Caller]
	if !ok || a.totalUse <= 0 {
		return 0
	}
	fair := a.totalUse * a.weightOf(w.Caller) / a.totalWeight
	return max(c.use/fair-1, 0) * a.penalty
}

// Charge adds the expected slot time of admitted work to its caller's use.
func (a *Admit) Charge(w work.Work, service time.Duration, now time.Time) {
	a.decay(now)
	c, ok := a.callers[w.Caller]
	if !ok {
		c = &caller{}
		a.callers[w.Caller] = c
		a.totalWeight += a.weightOf(w.Caller)
	}
	c.use += service.Seconds()
	a.totalUse += service.Seconds()
}

// Refund reverses a Charge for work that was given up before it ran.
func (a *Admit) Refund(w work.Work, service time.Duration, now time.Time) {
	a.decay(now)
	c, ok := a.callers[w.Caller]
	if !ok {
		return
	}
	refund := min(service.Seconds(), c.use)
	c.use -= refund
	a.totalUse -= refund
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

// minDecayInterval limits how often use decays, since each decay visits all
// callers.
const minDecayInterval = 100 * time.Millisecond

func (a *Admit) decay(now time.Time) {
	elapsed := now.Sub(a.lastDecay)
	if elapsed < minDecayInterval {
		return
	}
	a.lastDecay = now
	factor := math.Exp(-elapsed.Seconds() / a.timeConstant)
	a.totalUse, a.totalWeight = 0, 0
	for name, c := range a.callers {
		c.use *= factor
		if c.use < minUseSeconds {
			delete(a.callers, name)
			continue
		}
		a.totalUse += c.use
		a.totalWeight += a.weightOf(name)
	}
}
