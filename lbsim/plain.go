package lbsim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

// boundedQueueLimit is the queue length limit of the bounded baseline.
const boundedQueueLimit = 32

type (
	// baselineQueue is a queue without admission prediction. Its order is first come
	// first served, the same with a length limit, earliest deadline first or shortest
	// first.
	baselineQueue struct {
		order   string
		slots   *slots.Allocator
		waiting []queued
		running map[uint64]work.Work
		last    uint64
	}

	queued struct {
		attempt *attempt
		work    work.Work
		ticket  uint64
	}

	// baselineRoute picks at random, round robin, or the least loaded by the last
	// response.
	baselineRoute struct {
		policy string
		turn   int
		loads  map[string]float64
	}
)

func (p *baselineQueue) Push(a *attempt, w work.Work, _ time.Time) (uint64, error) {
	if p.order == "bounded" && len(p.waiting) >= boundedQueueLimit {
		return 0, &fault.NotRunError{Cause: "full"}
	}
	p.last++
	p.waiting = append(p.waiting, queued{attempt: a, work: w, ticket: p.last})
	slices.SortStableFunc(p.waiting, func(x, y queued) int {
		if strings.HasPrefix(p.order, "live") && x.work.Live() != y.work.Live() {
			return cmp.Compare(x.work.Kind, y.work.Kind)
		}
		switch {
		case p.order == "deadline":
			return x.work.Deadline.Compare(y.work.Deadline)
		case strings.HasSuffix(p.order, "hortest"):
			return cmp.Compare(x.work.ExpectedTokens, y.work.ExpectedTokens)
		}
		return 0
	})
	return p.last, nil
}

func (p *baselineQueue) Pop(_ time.Time) (*attempt, uint64, bool) {
	for i, h := range p.waiting {
		if !p.slots.Fits(h.work) {
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.slots.Start(h.work)
		if p.running == nil {
			p.running = map[uint64]work.Work{}
		}
		p.running[h.ticket] = h.work
		return h.attempt, h.ticket, true
	}
	return nil, 0, false
}

func (p *baselineQueue) Expire(time.Time, func(*attempt, *fault.NotRunError)) {}

func (p *baselineQueue) Done(ticket uint64, _ int64, now time.Time) { p.Cancel(ticket, now) }

func (p *baselineQueue) Cancel(ticket uint64, _ time.Time) bool {
	if w, ok := p.running[ticket]; ok {
		p.slots.Finish(w)
		delete(p.running, ticket)
		return true
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(h queued) bool { return h.ticket == ticket })
	return true
}

func (p *baselineQueue) Load(_ time.Time) *wire.DoorLoad {
	return &wire.DoorLoad{
		Slots:   int64(p.slots.Total()),
		Running: int64(len(p.running)),
		Waiting: int64(len(p.waiting)),
	}
}

func (p *baselineRoute) Pick(candidates []*wire.EndpointState, _ uint64, rng *rand.Rand, _ time.Time) []string {
	first := rng.IntN(len(candidates))
	switch p.policy {
	case "roundRobin":
		p.turn++
		first = p.turn % len(candidates)
	case "least":
		for i, d := range candidates {
			if p.loads[d.Instance] < p.loads[candidates[first].Instance] {
				first = i
			}
		}
	}
	second := (first + 1 + rng.IntN(max(len(candidates)-1, 1))) % len(candidates)
	return []string{candidates[first].Instance, candidates[second].Instance}
}

func (p *baselineRoute) Sent(string, time.Time) {}

func (p *baselineRoute) Observe(id string, load *wire.DoorLoad, _ error, _ time.Time) {
	p.loads[id] = float64(load.Running+load.Waiting) / float64(load.Slots)
}
