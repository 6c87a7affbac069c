// Package fetch plays roll-outs of weights over the workers of a pool, in virtual
// time, to weigh orders and paces against each other on the same seeded load.
package fetch

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/task"
	"github.com/lavendermux/lavendermux/worker"
)

const (
	tick = 100 * time.Millisecond
	// load is how long a worker takes to fetch a version that the store grants
	// at the least; up to half is added.
	load = 20 * time.Second
	// change is the mean time for which a worker's live load stays.
	change = time.Minute
	// again is when a worker whose fetch the store refused is asked next, on average.
	again = 5 * time.Second
)

type (
	// Play is a pool and what goes wrong in it. See Run.
	Play struct {
		// Workers is how many there are; Rate how many fetches a second the store
		// grants, and Others how many a second other holders ask for.
		Workers      int
		Rate, Others float64
		// Fail is the chance that an order fails on a worker, Bad that this
		// version fails to load, BadUse that it fails when it is switched to.
		Fail, Bad, BadUse float64
		// Gone is the share of workers that answer nothing and are still listed.
		Gone float64
		// Long is how long is played, Turn how long a switch takes at the least.
		Long, Turn time.Duration

		rng     *rand.Rand
		now     time.Time
		workers []worker.Worker
		ends    []time.Time
		deaf    []bool
		index   map[string]int
		credit  float64
	}

	// holder is what decides, as pace does.
	holder interface {
		Next(workers []worker.Worker, now time.Time) []task.Task
		Refused()
		State() string
	}

	// result is what the pool got.
	result struct {
		// Staged is when 98% of the workers that answer held the version, Switch
		// the time from the first order to switch until 98% used it, and Whole the
		// time from the start until then; each in seconds, Long when never.
		Staged, Switch, Whole float64
		// Refused counts fetches that the store refused, Failed and Down
		// the orders to stage and to switch that failed.
		Refused, Failed, Down int
		// Live is the share of live requests that ran on a worker while it loaded.
		Live float64
		// State is the holder's own word at the end.
		State string
	}
)

// Run plays one roll-out with a seed.
//
//	r := play.Run(1, pace.New(pace.WithRate(2)))
//	fmt.Println(r.Staged, r.Refused)
func (p *Play) Run(seed uint64, h holder) *result {
	p.build(seed)
	start := p.now
	var turning time.Time
	r := &result{Staged: p.Long.Seconds(), Switch: p.Long.Seconds(), Whole: p.Long.Seconds()}
	live, total := 0.0, 0.0
	for p.now.Sub(start) < p.Long {
		p.now = p.now.Add(tick)
		p.credit = min(max(1, p.Rate), p.credit+(p.Rate-p.Others)*tick.Seconds())
		p.advance(r)
		for _, t := range h.Next(p.workers, p.now) {
			if t.Kind == order.Switch && turning.IsZero() {
				turning = p.now
			}
			p.do(t, h, r)
		}
		staged, switched, alive := p.count()
		since := p.now.Sub(start).Seconds()
		if staged+switched >= enough(alive) {
			r.Staged = min(r.Staged, since)
		}
		if switched >= enough(alive) {
			r.Whole = min(r.Whole, since)
			r.Switch = min(r.Switch, p.now.Sub(turning).Seconds())
		}
		for i := range p.workers {
			if p.rng.Float64() < tick.Seconds()/change.Seconds() {
				p.live(&p.workers[i])
			}
			total += p.workers[i].Live
			if p.workers[i].State == worker.Staging {
				live += p.workers[i].Live
			}
		}
	}
	r.Live = live / total
	r.State = h.State()
	return r
}

func (p *Play) build(seed uint64) {
	p.rng = rand.New(rand.NewPCG(seed, seed))
	p.now = time.Unix(0, 0)
	p.credit = 1
	p.workers = make([]worker.Worker, p.Workers)
	p.ends = make([]time.Time, p.Workers)
	p.deaf = make([]bool, p.Workers)
	p.index = map[string]int{}
	for i := range p.workers {
		w := &p.workers[i]
		w.Name = "worker-" + strconv.Itoa(i)
		w.State = worker.Bare
		p.live(w)
		p.deaf[i] = p.rng.Float64() < p.Gone
		p.index[w.Name] = i
	}
}

// live draws a worker's live load: most workers have none at a time.
func (p *Play) live(w *worker.Worker) {
	w.Live = 0
	if p.rng.Float64() < 0.3 {
		w.Live = p.rng.Float64()
	}
}

// do gives one order. The store grants or refuses a fetch at once; a worker that
// is deaf stays in the state of the order.
func (p *Play) do(t task.Task, h holder, r *result) {
	i := p.index[t.Worker]
	w := &p.workers[i]
	extra := 1 + p.rng.Float64()/2
	switch t.Kind {
	case order.Stage:
		if p.credit < 1 {
			r.Refused++
			w.NotBefore = p.now.Add(time.Duration((0.5 + p.rng.Float64()) * float64(again)))
			h.Refused()
			return
		}
		p.credit--
		w.State = worker.Staging
		p.ends[i] = p.now.Add(time.Duration(extra * float64(load)))
	case order.Switch:
		w.State = worker.Switching
		p.ends[i] = p.now.Add(time.Duration(extra * float64(p.Turn)))
	}
}

// advance ends the orders that are due.
func (p *Play) advance(r *result) {
	for i := range p.workers {
		w := &p.workers[i]
		if p.deaf[i] || p.ends[i].After(p.now) {
			continue
		}
		switch w.State {
		case worker.Staging:
			if p.rng.Float64() < max(p.Fail, p.Bad) {
				w.State = worker.Bare
				w.Failures++
				r.Failed++
				continue
			}
			w.State = worker.Staged
			w.Failures = 0
		case worker.Switching:
			w.State = worker.Switched
			if p.rng.Float64() < max(p.Fail, p.BadUse) {
				w.State = worker.Staged
				w.Failures++
				r.Down++
			}
		}
	}
}

func (p *Play) count() (staged, switched, alive int) {
	for i := range p.workers {
		if p.deaf[i] {
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

func enough(alive int) int {
	return alive * 98 / 100
}
