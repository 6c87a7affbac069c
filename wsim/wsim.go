// Package wsim simulates rollouts of weights over the workers of a pool, in virtual
// time, to compare strategies under the same seeded load.
package wsim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/task"
	"github.com/lavendermux/lavendermux/worker"
)

const (
	tickInterval = 100 * time.Millisecond
	// minFetchTime is the least time that a worker takes for a fetch granted by the
	// store; up to half is added at random.
	minFetchTime = 20 * time.Second
	// meanLiveLoadTime is the mean time for which a worker's live load stays the same.
	meanLiveLoadTime = time.Minute
	// meanRetryDelay is the mean delay before a worker whose fetch the store refused gets
	// its next order.
	meanRetryDelay = 5 * time.Second
)

type (
	// Scenario is a pool and the faults injected into it. See Run.
	Scenario struct {
		// Workers is the number of workers. The rates are the fetches per second that the
		// store grants and that other rollouts request.
		Workers         int
		Rate, OtherRate float64
		// FailProb is the probability that an order fails on a worker, LoadFaultProb that this
		// version fails to load, SwitchFaultProb that it fails when it is switched to.
		FailProb, LoadFaultProb, SwitchFaultProb float64
		// SilentShare is the fraction of workers that don't respond but are still listed.
		SilentShare float64
		// Duration is the simulated time, SwitchTime the least time that a switch takes.
		Duration, SwitchTime time.Duration

		rng       *rand.Rand
		now       time.Time
		workers   []worker.Worker
		orderEnds []time.Time
		silent    []bool
		index     map[string]int
		tokens    float64
	}

	// rollout is the strategy under test; package pace has one.
	rollout interface {
		Next(workers []worker.Worker, now time.Time) []task.Task
		Refused()
		State() string
	}

	// result is the outcome of one run.
	result struct {
		// Staged is when 98% of the responding workers held the version, Switch the time from
		// the first order to switch until 98% used it, and TotalTime the time from the start until
		// then; all in seconds, the simulated time if never.
		Staged, Switch, TotalTime float64
		// Refused counts fetches refused by the store, FailedLoads the failed orders to stage, and
		// FailedSwitches the failed orders to switch.
		Refused, FailedLoads, FailedSwitches int
		// LiveLoad is the fraction of live load that ran on a worker while it was staging.
		LiveLoad float64
		// State is the final state of the rollout.
		State string
	}
)

// Run simulates one rollout with a seed.
//
//	r := p.Run(1, pace.New(pace.WithRate(2)))
//	fmt.Println(r.Staged, r.Refused)
func (p *Scenario) Run(seed uint64, h rollout) *result {
	p.reset(seed)
	start := p.now
	var switchBegan time.Time
	r := &result{Staged: p.Duration.Seconds(), Switch: p.Duration.Seconds(), TotalTime: p.Duration.Seconds()}
	liveLoad, total := 0.0, 0.0
	for p.now.Sub(start) < p.Duration {
		p.now = p.now.Add(tickInterval)
		p.tokens = min(max(1, p.Rate), p.tokens+(p.Rate-p.OtherRate)*tickInterval.Seconds())
		p.finishOrders(r)
		for _, t := range h.Next(p.workers, p.now) {
			if t.Kind == order.Switch && switchBegan.IsZero() {
				switchBegan = p.now
			}
			p.execute(t, h, r)
		}
		staged, switched, alive := p.countStates()
		since := p.now.Sub(start).Seconds()
		if staged+switched >= quorum(alive) {
			r.Staged = min(r.Staged, since)
		}
		if switched >= quorum(alive) {
			r.TotalTime = min(r.TotalTime, since)
			r.Switch = min(r.Switch, p.now.Sub(switchBegan).Seconds())
		}
		for i := range p.workers {
			if p.rng.Float64() < tickInterval.Seconds()/meanLiveLoadTime.Seconds() {
				p.liveLoad(&p.workers[i])
			}
			total += p.workers[i].LiveLoad
			if p.workers[i].State == worker.Staging {
				liveLoad += p.workers[i].LiveLoad
			}
		}
	}
	r.LiveLoad = liveLoad / total
	r.State = h.State()
	return r
}

func (p *Scenario) reset(seed uint64) {
	p.rng = rand.New(rand.NewPCG(seed, seed))
	p.now = time.Unix(0, 0)
	p.tokens = 1
	p.workers = make([]worker.Worker, p.Workers)
	p.orderEnds = make([]time.Time, p.Workers)
	p.silent = make([]bool, p.Workers)
	p.index = map[string]int{}
	for i := range p.workers {
		w := &p.workers[i]
		w.Name = "worker-" + strconv.Itoa(i)
		w.State = worker.Unstaged
		p.liveLoad(w)
		p.silent[i] = p.rng.Float64() < p.SilentShare
		p.index[w.Name] = i
	}
}

// liveLoad draws a worker's live load; most workers have none at any time.
func (p *Scenario) liveLoad(w *worker.Worker) {
	w.LiveLoad = 0
	if p.rng.Float64() < 0.3 {
		w.LiveLoad = p.rng.Float64()
	}
}

// execute starts one order. The store grants or refuses a fetch at once; a silent worker
// stays in the state of the order.
func (p *Scenario) execute(t task.Task, h rollout, r *result) {
	i := p.index[t.Worker]
	w := &p.workers[i]
	extra := 1 + p.rng.Float64()/2
	switch t.Kind {
	case order.Stage:
		if p.tokens < 1 {
			r.Refused++
			w.NotBefore = p.now.Add(time.Duration((0.5 + p.rng.Float64()) * float64(meanRetryDelay)))
			h.Refused()
			return
		}
		p.tokens--
		w.State = worker.Staging
		p.orderEnds[i] = p.now.Add(time.Duration(extra * float64(minFetchTime)))
	case order.Switch:
		w.State = worker.Switching
		p.orderEnds[i] = p.now.Add(time.Duration(extra * float64(p.SwitchTime)))
	}
}

// finishOrders finishes the orders that are due.
func (p *Scenario) finishOrders(r *result) {
	for i := range p.workers {
		w := &p.workers[i]
		if p.silent[i] || p.orderEnds[i].After(p.now) {
			continue
		}
		switch w.State {
		case worker.Staging:
			if p.rng.Float64() < max(p.FailProb, p.LoadFaultProb) {
				w.State = worker.Unstaged
				w.Failures++
				r.FailedLoads++
				continue
			}
			w.State = worker.Staged
			w.Failures = 0
		case worker.Switching:
			w.State = worker.Switched
			if p.rng.Float64() < max(p.FailProb, p.SwitchFaultProb) {
				w.State = worker.Staged
				w.Failures++
				r.FailedSwitches++
			}
		}
	}
}

func (p *Scenario) countStates() (staged, switched, alive int) {
	for i := range p.workers {
		if p.silent[i] {
			continue
		}
		alive++
		switch p.workers[i].State {
		case worker.Staged, worker.Switching:
			staged++
		case worker.Switched:
			switched++
		}
	}
	return staged, switched, alive
}

func quorum(alive int) int {
	return alive * 98 / 100
}
