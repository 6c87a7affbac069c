package lbsim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

var errEndpointFailed = errors.New("endpoint failed the request")

type (
	workQueue interface {
		Push(a *attempt, w work.Work, now time.Time) (uint64, error)
		Pop(now time.Time) (*attempt, uint64, bool)
		Expire(now time.Time, refuse func(*attempt, *fault.NotRunError))
		Done(ticket uint64, tokens int64, now time.Time)
		Cancel(ticket uint64, now time.Time) bool
		Load(now time.Time) *wire.DoorLoad
	}

	sidecar struct {
		simulation *simulation
		state      *wire.EndpointState
		index      int
		queue      workQueue
		cache      []uint64
	}

	// attempt is one attempt of a request at one sidecar.
	attempt struct {
		request    *request
		sidecar    *sidecar
		onResponse func(a *attempt, load *wire.DoorLoad, err error)
		sent       time.Time
		running    bool
		ended      bool
	}
)

func (s *simulation) workQueue() workQueue {
	p := s.scenario
	sl := slots.New(p.Slots, slots.WithLiveReserve(p.LiveReserve), slots.WithPoolMinimum(lightPool, p.PoolMinimum))
	if p.Queue == "lavendermux" {
		opts := append([]queue.Option{queue.WithTokenRate(TokensPerSecond)}, p.QueueOptions...)
		if p.Admit {
			opts = append(opts, queue.WithAdmission(admit.New(p.AdmitOptions...)))
		}
		return queue.New[*attempt](sl, opts...)
	}
	return &baselineQueue{order: p.Queue, slots: sl}
}

// receive handles the arrival of an attempt at the sidecar.
func (d *sidecar) receive(a *attempt) {
	s := d.simulation
	if a.request.poison || s.faultsActive() && d.index < s.scenario.FailingCount {
		a.request.recordRun()
		a.finish(d.queue.Load(s.now), errEndpointFailed)
		return
	}
	ticket, err := d.queue.Push(a, a.request.work, s.now)
	if err != nil {
		a.finish(d.queue.Load(s.now), err)
		return
	}
	// Work is aborted at its deadline whether it waits or runs: the caller has gone.
	s.at(a.request.work.Deadline, func() {
		if !a.ended {
			d.abort(a, ticket)
		}
	})
	d.work()
}

func (d *sidecar) abort(a *attempt, ticket uint64) {
	s := d.simulation
	if a.running {
		generated := int64(s.now.Sub(a.sent).Seconds() * TokensPerSecond * d.speed())
		d.generated(generated)
	}
	d.queue.Cancel(ticket, s.now)
	a.finish(d.queue.Load(s.now), &fault.UnknownOutcomeError{Cause: "deadline"})
	d.work()
}

// work rejects expired work and starts what fits.
func (d *sidecar) work() {
	s := d.simulation
	d.queue.Expire(s.now, func(a *attempt, err *fault.NotRunError) {
		a.finish(d.queue.Load(s.now), err)
	})
	for {
		a, ticket, ok := d.queue.Pop(s.now)
		if !ok {
			return
		}
		d.run(a, ticket)
	}
}

func (d *sidecar) run(a *attempt, ticket uint64) {
	s := d.simulation
	a.running = true
	a.sent = s.now
	a.request.recordRun()
	duration := time.Duration(float64(a.request.tokens) / TokensPerSecond / d.speed() * float64(time.Second))
	duration += d.prefill(a.request.prefix)
	s.after(duration, func() {
		if a.ended {
			return
		}
		d.generated(a.request.tokens)
		d.queue.Done(ticket, a.request.tokens, s.now)
		a.finish(d.queue.Load(s.now), nil)
		d.work()
	})
}

// generated counts generated tokens. Tokens after the end of the load are not
// counted.
func (d *sidecar) generated(tokens int64) {
	s := d.simulation
	if s.now.Sub(s.start) <= s.scenario.Duration {
		s.score.GeneratedTokens += tokens
		s.score.TokensBySidecar[d.index] += tokens
	}
}

func (d *sidecar) speed() float64 {
	if d.simulation.faultsActive() && d.index < d.simulation.scenario.SlowCount {
		return d.simulation.scenario.SlowSpeed
	}
	return 1
}

// prefill returns the prefill time of a prefix and moves it to the front of the
// sidecar's LRU cache.
func (d *sidecar) prefill(prefix uint64) time.Duration {
	if prefix == 0 {
		return 0
	}
	i := slices.Index(d.cache, prefix)
	if i >= 0 {
		d.cache = slices.Delete(d.cache, i, i+1)
	}
	d.cache = slices.Insert(d.cache, 0, prefix)
	d.cache = d.cache[:min(len(d.cache), d.simulation.scenario.CacheSize)]
	if i >= 0 {
		d.simulation.score.CacheHits.Add(1)
		return 0
	}
	d.simulation.score.CacheHits.Add(0)
	return d.simulation.scenario.PrefillTime
}

func (a *attempt) finish(load *wire.DoorLoad, err error) {
	a.ended = true
	a.onResponse(a, load, err)
}
