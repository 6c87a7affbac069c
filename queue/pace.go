package queue

import (
	"time"

	"github.com/lavendermux/lavendermux/work"
)

const (
	// memory is how much of the past the measured rate keeps at each piece of
	// finished work. 0.95 averages over about 20 pieces, some four seconds of
	// an endpoint that ends five a second: short enough to follow a batch that
	// fills up, long enough that one straggler doesn't move it.
	memory = 0.95

	// overrun is the share of its estimate that work which has outlived the
	// estimate is expected to still take.
	overrun = 0.25
)

// pace estimates how long work takes on one slot.
type pace struct {
	made    float64
	seconds float64
	count   float64
}

func newPace(rate, mean float64) pace {
	return pace{made: mean, seconds: mean / rate, count: 1}
}

func (p *pace) observe(made int64, took time.Duration) {
	// Work that made nothing says nothing about the rate; it would make every
	// later estimate infinite.
	if made <= 0 || took <= 0 {
		return
	}
	p.made = p.made*memory + float64(made)
	p.seconds = p.seconds*memory + took.Seconds()
	p.count = p.count*memory + 1
}

// rate is the tokens that one slot makes in a second.
func (p *pace) rate() float64 {
	return p.made / p.seconds
}

func (p *pace) tokens(w work.Work) float64 {
	if w.Tokens > 0 {
		return float64(w.Tokens)
	}
	return p.made / p.count
}

func (p *pace) service(w work.Work) time.Duration {
	return time.Duration(p.tokens(w) / p.rate() * float64(time.Second))
}

// left is how long work that has run for a while still takes.
func (p *pace) left(w work.Work, ran time.Duration) time.Duration {
	service := p.service(w)
	return max(service-ran, scale(service, overrun))
}
