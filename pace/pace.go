// Package pace decides the order and the pace in which the workers of a pool
// fetch a new version of the weights, and when they switch to it.
//
// It answers the burst that each new version is: every worker could ask the
// rate-limited weight store at once, while live requests run on the same
// workers. Without it the store refuses most of them and their repeats, live
// requests wait behind the loading, and a version that does not load is found
// out on all workers together; one would notice refusals at the store, a late
// switch and a pool that failed as a whole.
//
// Its end states are Complete, Halted and Partial, and in each every worker is
// known to use the old version, the new one, or to be asked. A worker that has
// not staged when the others switch is set aside (see Roll.Aside): it goes on
// with live requests, stages at the same pace and switches by itself. Measured on
// 700 workers against no limit, the store refuses none in place of 16,400
// fetches, and of a version that does not load 3 loads fail in place of 1,720; the
// whole pool has a sound one 302 s after the start in place of 266 s. The figures are in
// docs/measured/rollouts.md.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/task"
	"github.com/lavendermux/lavendermux/worker"
)

const (
	// Fetching is the state of a roll-out before its switch.
	Fetching = "staging"
	// Turning is the state in which workers are ordered to switch.
	Turning = "switching"
	// Complete says that every worker there uses the version.
	Complete = "complete"
	// Halted says that the version failed on too many workers before any
	// switched: the others still use the old one, and those that a switch has
	// left without any are given the new one again now and then.
	Halted = "halted"
	// Partial says that the version failed after some had switched: those use
	// the new one, the others the old one, and each says which.
	Partial = "partial"

	defaultRate    = 2.0
	defaultHolders = 1
	// defaultPatience is half of the ten minutes between two versions.
	defaultPatience = 5 * time.Minute
	// defaultQuorum leaves two workers in a hundred behind. With 0.9 the other
	// tenth switched one by one over 19 s; with 1 a silent worker held the
	// version back for good.
	defaultQuorum = 0.98
	// defaultGrowth is how many orders may be under way for each worker on which
	// one has succeeded. When a switch takes 1 s, 700 workers have switched after
	// 9.1 s with 2, 5.6 s with 8 and 4.1 s with 32; of a version that fails on
	// half of the workers 6.7, 12.7 and 20.7 loads fail before it is halted.
	defaultGrowth = 8

	// A worker fails for its own reasons with the chance soundFault, and on a
	// version that is at fault with at least badFault; doubt is the chance that a
	// sound version may be halted. The sum of the logarithms of the two ratios is
	// Wald's sequential test, which needs the fewest workers for that doubt.
	soundFault = 0.02
	badFault   = 0.5
	doubt      = 0.001

	// tries is how often one worker is given the version; more would only wait
	// for a worker that is itself at fault.
	tries = 3
	// restore is the share of the rate that comes back each second after a
	// refusal has halved it. While others take a third of the store's rate, 0.02
	// has the pool staged after 442 s with 20 refusals, 0.05 after 413 s with 39
	// and 0.2 after 410 s with 118.
	restore = 0.05
	// probeAgain is the wait between two probes of a pool. A probe costs a
	// transfer at most, and its worker serves nobody anyway.
	probeAgain = 15 * time.Second
)

// Roll is one roll-out of one version over one pool, as its holder runs it. It
// keeps the pace between calls, so one call may run at a time.
type Roll struct {
	share    float64
	patience time.Duration
	quorum   float64
	growth   int

	began   time.Time
	last    time.Time
	credit  float64
	rate    float64
	turning bool
	state   string
	queue   []int
	probed  time.Time
	// before is how many workers had switched when the roll-out was halted.
	before int
}

// New returns a roll-out that has not begun.
//
//	r := pace.New(pace.WithRate(2), pace.WithHolders(4))
//	tasks := r.Next(workers, now)
func New(opts ...Option) *Roll {
	cfg := config{
		rate:     defaultRate,
		holders:  defaultHolders,
		patience: defaultPatience,
		quorum:   defaultQuorum,
		growth:   defaultGrowth,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	share := cfg.rate / float64(max(1, cfg.holders))
	return &Roll{
		share:    share,
		rate:     share,
		credit:   1,
		patience: cfg.patience,
		quorum:   cfg.quorum,
		growth:   cfg.growth,
		state:    Fetching,
		turning:  cfg.turning,
	}
}

// State returns Fetching, Turning, Complete, Halted or Partial, as of the last
// call of Next.
func (r *Roll) State() string {
	return r.state
}

// Refused records that the weight store refused a fetch: the pace is halved,
// since another holder may take more than its share, and comes back slowly.
func (r *Roll) Refused() {
	r.rate = max(r.share/16, r.rate/2)
	r.credit = min(r.credit, 0)
}

// Next returns what to ask of which workers now.
func (r *Roll) Next(workers []worker.Worker, now time.Time) []task.Task {
	r.refill(now)
	staged, switched, there := count(workers)
	if r.halted() && switched <= r.before {
		return append(ask(workers, now), r.probe(workers, now)...)
	}
	if suspect(workers, worker.Bare, worker.Staged) || suspect(workers, worker.Staged, worker.Switched) {
		r.state = Halted
		if switched > 0 {
			r.state = Partial
		}
		r.before = switched
		return ask(workers, now)
	}
	r.turning = r.turning || r.ready(staged+switched, there, now)
	switch {
	case there > 0 && switched == there:
		r.state = Complete
	case r.turning:
		r.state = Turning
	default:
		r.state = Fetching
	}
	tasks := ask(workers, now)
	if r.turning {
		tasks = append(tasks, r.turn(workers, switched, now)...)
	}
	tasks = append(tasks, r.probe(workers, now)...)
	return append(tasks, r.stage(workers, staged+switched, now)...)
}

func (r *Roll) halted() bool {
	return r.state == Halted || r.state == Partial
}

// probe gives one worker that runs no version at all the new one again, now and
// then. A switch that fails halfway leaves a worker empty; were a halted
// roll-out never tried again, a fault that struck several workers at once and
// has passed would leave the pool without service until the next version, and a
// trainer that waits for samples publishes none. A worker that still runs the
// old version is never probed: it has something to lose.
func (r *Roll) probe(workers []worker.Worker, now time.Time) []task.Task {
	if now.Sub(r.probed) < probeAgain {
		return nil
	}
	var least *worker.Worker
	for i := range workers {
		w := &workers[i]
		if w.State == worker.Staging || w.State == worker.Switching {
			return nil
		}
		spent := r.halted() || w.Failures >= tries
		idle := w.State == worker.Bare || w.State == worker.Staged
		if !w.Empty || !spent || !idle || now.Before(w.NotBefore) {
			continue
		}
		if least == nil || w.Failures < least.Failures {
			least = w
		}
	}
	if least == nil {
		return nil
	}
	r.probed = now
	kind := order.Stage
	if least.State == worker.Staged {
		kind = order.Switch
	}
	return []task.Task{{Worker: least.Name, Kind: kind}}
}

// Aside says whether a worker must get no new rollouts: the pool has begun to
// switch and this worker does not use the new version yet. Without it samples go
// on to begin on weights that the trainer has replaced.
func (r *Roll) Aside(w *worker.Worker) bool {
	return r.turning && w.State != worker.Switched
}

// ready says whether to switch: when all are staged, or, after patience, when
// quorum of them are. One worker that cannot be reached would otherwise hold the
// new version back from all others.
func (r *Roll) ready(staged, there int, now time.Time) bool {
	if there == 0 {
		return false
	}
	if staged == there {
		return true
	}
	late := now.Sub(r.began) >= r.patience
	return late && float64(staged) >= r.quorum*float64(there)
}

func (r *Roll) refill(now time.Time) {
	if r.began.IsZero() {
		r.began = now
		r.last = now
	}
	seconds := now.Sub(r.last).Seconds()
	r.last = now
	r.rate = min(r.share, r.rate+restore*r.share*seconds)
	// What is unused is kept for a second only: after a pause the holder would
	// otherwise send the store all of it at once.
	r.credit = min(max(1, r.share), r.credit+r.rate*seconds)
}

// stage picks the next workers to fetch the version: those with the fewest live
// requests first, no more than twice those that have shown that it loads, and
// one more. A version at fault is then found out on the first few.
func (r *Roll) stage(workers []worker.Worker, shown int, now time.Time) []task.Task {
	r.queue = r.queue[:0]
	busy := 0
	for i := range workers {
		w := &workers[i]
		if w.State == worker.Staging {
			busy++
		}
		if w.State != worker.Bare || w.Failures >= tries || now.Before(w.NotBefore) {
			continue
		}
		r.queue = append(r.queue, i)
	}
	slices.SortFunc(r.queue, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(workers[a].Failures, workers[b].Failures),
			cmp.Compare(workers[a].Live, workers[b].Live),
			cmp.Compare(a, b),
		)
	})
	var tasks []task.Task
	for _, i := range r.queue {
		if r.credit < 1 || busy > r.growth*shown {
			break
		}
		r.credit--
		busy++
		tasks = append(tasks, task.Task{Worker: workers[i].Name, Kind: order.Stage})
	}
	return tasks
}

// turn orders the switch, in waves of growth times as many as the workers that have shown
// that the version can be used. All at once would lose the whole pool to a
// version that loads and then fails in use.
func (r *Roll) turn(workers []worker.Worker, shown int, now time.Time) []task.Task {
	busy := 0
	for i := range workers {
		if workers[i].State == worker.Switching || workers[i].State == worker.Unknown {
			busy++
		}
	}
	var tasks []task.Task
	for i := range workers {
		w := &workers[i]
		if busy > r.growth*shown {
			break
		}
		if w.State == worker.Staged && w.Failures < tries && !now.Before(w.NotBefore) {
			busy++
			tasks = append(tasks, task.Task{Worker: w.Name, Kind: order.Switch})
		}
	}
	return tasks
}

// ask asks the workers whose last order has an unknown outcome. A second order
// before the answer could undo or double the first.
func ask(workers []worker.Worker, now time.Time) []task.Task {
	var tasks []task.Task
	for i := range workers {
		w := &workers[i]
		if w.State == worker.Unknown && !now.Before(w.NotBefore) {
			tasks = append(tasks, task.Task{Worker: w.Name, Kind: task.Ask})
		}
	}
	return tasks
}

// suspect says whether the failures speak for a fault in the version, for the
// step from the state before to done: a version may load and then fail in use,
// and many loads must not hide that. Each worker counts once: a worker that fails
// three times says no more of the version than one that fails once.
func suspect(workers []worker.Worker, before, done string) bool {
	failed, sound := 0.0, 0.0
	for i := range workers {
		w := &workers[i]
		switch {
		case w.State == worker.Switched || w.State == done:
			sound++
		case w.Failures > 0 && w.State == before:
			failed++
		}
	}
	evidence := failed*math.Log(badFault/soundFault) + sound*math.Log((1-badFault)/(1-soundFault))
	return evidence >= math.Log(1/doubt)
}

// count returns how many workers are staged, have switched, and are there.
func count(workers []worker.Worker) (staged, switched, there int) {
	for i := range workers {
		switch workers[i].State {
		case worker.Gone:
			continue
		case worker.Staged, worker.Switching:
			staged++
		case worker.Switched:
			switched++
		}
		there++
	}
	return staged, switched, there
}
