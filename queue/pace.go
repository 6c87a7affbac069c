package queue

import (
	"time"

	"github.com/lavendermux/lavendermux/work"
)

const (
	defaultLimit = 256
	defaultRate  = 40
	defaultMean  = 256

	// Work without a deadline is ordered as if it had this much time; work
	// that waits longer than this goes before anything that comes new.
	noDeadline = 4 * time.Minute

	// memory is how much of the past the measured rate remembers at each piece
	// of finished work. 0.95 averages over about 20 pieces, some four seconds
	// of an endpoint that ends five a second: short enough to follow a batch
	// that fills up, long enough that one straggler doesn't move it.
	memory = 0.95
)

// pace estimates how long work takes on one slot.
type pace struct {
	made    float64
	seconds float64
	count   float64
	ended   float64
}

func newPace(rate, mean float64) pace {
	return pace{made: mean, seconds: mean / rate, count: 1, ended: mean}
}

func (p *pace) observe(_ work.Work, made int64, took time.Duration) {
	if made <= 0 || took <= 0 {
		return
	}
	p.made = p.made*memory + float64(made)
	p.seconds = p.seconds*memory + took.Seconds()
	p.count = p.count*memory + 1
	p.ended = p.ended*memory + float64(made)
}

// rate is the tokens that one slot makes in a second.
func (p *pace) rate() float64 {
	return p.made / p.seconds
}

func (p *pace) tokens(w work.Work) float64 {
	if w.Tokens > 0 {
		return float64(w.Tokens)
	}
	return p.ended / p.count
}

func (p *pace) service(w work.Work) time.Duration {
	return time.Duration(p.tokens(w) / p.rate() * float64(time.Second))
}

// left is how long work that has run for a while still takes. Work that has
// outlived its estimate is expected to take a while more: what has already
// run longer than expected is most likely a straggler.
func (p *pace) left(w work.Work, ran time.Duration) time.Duration {
	service := p.service(w)
	if ran < service {
		return service - ran
	}
	return service / overrunShare
}

// overrunShare divides the estimate of work that has outlived it.
const overrunShare = 4
