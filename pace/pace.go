// Package pace controls a rollout of weights over the workers of a pool: it decides
// in which order and how fast they stage a new version, and when they switch to it.
//
// Each new version causes a burst: every worker could fetch it at once from the
// rate-limited weight store, while live requests run on the same workers. Without
// pacing, the store refuses most fetches and their retries, live requests wait
// behind the loading, and a version that doesn't load fails on all workers at once.
//
// A rollout ends as Complete, Halted or Partial. In each of these states every
// worker is known to use the old version or the new one, or is still to be queried.
// A worker that isn't staged when the others switch gets no new rollout requests:
// it goes on with live requests, stages at the same pace and switches by itself.
//
// On 700 workers, compared to no limit, the store refuses no fetch instead of
// 16,400, a version that doesn't load fails 3 loads instead of 1,720, and the whole
// pool uses a sound version after 302 s instead of 266 s. See
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
	// Staging is the state of a rollout before its switch.
	Staging = "staging"
	// Switching is the state in which workers are ordered to switch.
	Switching = "switching"
	// Complete means that every available worker uses the version.
	Complete = "complete"
	// Halted means that the version failed on too many workers before any had
	// switched. The others still use the old version; workers that a failed switch
	// left without a version are probed with the new one from time to time.
	Halted = "halted"
	// Partial means that the version failed after some workers had switched: those
	// use the new version, the others the old one, and each reports which.
	Partial = "partial"

	defaultRate     = 2.0
	defaultRollouts = 1
	// defaultQuorumAfter is half of the ten minutes between two versions.
	defaultQuorumAfter = 5 * time.Minute
	// defaultQuorum leaves two workers in a hundred behind. With 0.9 the other
	// tenth switched one by one over 19 s; with 1 a silent worker blocked the
	// version for good.
	defaultQuorum = 0.98
	// defaultGrowth is how many orders may be in flight for each worker on which
	// one has succeeded. When a switch takes 1 s, 700 workers have switched after
	// 9.1 s with 2, 5.6 s with 8 and 4.1 s with 32; when a version fails on half of
	// the workers, 6.7, 12.7 and 20.7 loads fail before the rollout halts.
	defaultGrowth = 8

	// A worker fails for its own reasons with probability soundFaultProb, and on a
	// faulty version with at least badFaultProb; falseHaltProb is the probability
	// that a sound version is halted. The sum of the logarithms of the two ratios
	// is Wald's sequential probability ratio test, which needs the fewest workers
	// for that error probability.
	soundFaultProb = 0.02
	badFaultProb   = 0.5
	falseHaltProb  = 0.001

	// maxAttempts is how often one worker is given the version; more would only
	// wait for a worker that is itself faulty.
	maxAttempts = 3
	// rateRecovery is the fraction of the maximum rate that is restored each second
	// after a refusal has halved the rate. While others take a third of the store's
	// rate, the pool is staged after 442 s with 20 refusals at 0.02, after 413 s with
	// 39 at 0.05, and after 410 s with 118 at 0.2.
	rateRecovery = 0.05
	// probeInterval is the minimum time between two probes of a pool. A probe costs
	// one transfer at most, and its worker serves nobody anyway.
	probeInterval = 15 * time.Second
)

// Rollout is a rollout of one version over one pool. It keeps state between calls and
// isn't safe for concurrent use.
type Rollout struct {
	maxRate     float64
	quorumAfter time.Duration
	quorum      float64
	growth      int

	startedAt  time.Time
	lastRefill time.Time
	tokens     float64
	rate       float64
	switching  bool
	state      string
	candidates []int
	lastProbe  time.Time
	// switchedAtHalt is how many workers had switched when the rollout was halted.
	switchedAtHalt int
}

// New returns a rollout that has not begun.
//
//	r := pace.New(pace.WithRate(2))
//	tasks := r.Next(workers, now)
func New(opts ...Option) *Rollout {
	cfg := config{
		rate:        defaultRate,
		rollouts:    defaultRollouts,
		quorumAfter: defaultQuorumAfter,
		quorum:      defaultQuorum,
		growth:      defaultGrowth,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	maxRate := cfg.rate / float64(max(1, cfg.rollouts))
	return &Rollout{
		maxRate:     maxRate,
		rate:        maxRate,
		tokens:      1,
		quorumAfter: cfg.quorumAfter,
		quorum:      cfg.quorum,
		growth:      cfg.growth,
		state:       Staging,
		switching:   cfg.switching,
	}
}

// State returns the state as of the last call of Next, one of the constants.
func (r *Rollout) State() string {
	return r.state
}

// Refused records that the weight store refused a fetch. It halves the rate, since
// another rollout may take more than its share; the rate recovers slowly.
func (r *Rollout) Refused() {
	r.rate = max(r.maxRate/16, r.rate/2)
	r.tokens = min(r.tokens, 0)
}

// Next returns the tasks to give to workers now.
func (r *Rollout) Next(workers []worker.Worker, now time.Time) []task.Task {
	r.refill(now)
	staged, switched, available := countStates(workers)
	if r.halted() && switched <= r.switchedAtHalt {
		return append(queryUnknown(workers, now), r.probe(workers, now)...)
	}
	if versionFaulty(workers, worker.Unstaged, worker.Staged) || versionFaulty(workers, worker.Staged, worker.Switched) {
		r.state = Halted
		if switched > 0 {
			r.state = Partial
		}
		r.switchedAtHalt = switched
		return queryUnknown(workers, now)
	}
	r.switching = r.switching || r.switchDue(staged+switched, available, now)
	switch {
	case available > 0 && switched == available:
		r.state = Complete
	case r.switching:
		r.state = Switching
	default:
		r.state = Staging
	}
	tasks := queryUnknown(workers, now)
	if r.switching {
		tasks = append(tasks, r.orderSwitches(workers, switched, now)...)
	}
	tasks = append(tasks, r.probe(workers, now)...)
	return append(tasks, r.orderStages(workers, staged+switched, now)...)
}

func (r *Rollout) halted() bool {
	return r.state == Halted || r.state == Partial
}

// probe gives one worker that runs no version at all the new one again, from time to
// time. A switch that fails halfway leaves a worker without a version. If a halted
// rollout never retried, a transient fault that hit several workers at once would
// leave the pool without service until the next version, and a trainer that waits for
// samples publishes none. A worker that still runs the old version is never probed,
// since it could lose that.
func (r *Rollout) probe(workers []worker.Worker, now time.Time) []task.Task {
	if now.Sub(r.lastProbe) < probeInterval {
		return nil
	}
	var best *worker.Worker
	for i := range workers {
		w := &workers[i]
		if w.State == worker.Staging || w.State == worker.Switching {
			return nil
		}
		exhausted := r.halted() || w.Failures >= maxAttempts
		idle := w.State == worker.Unstaged || w.State == worker.Staged
		if !w.NoVersion || !exhausted || !idle || now.Before(w.NotBefore) {
			continue
		}
		if best == nil || w.Failures < best.Failures {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	r.lastProbe = now
	kind := order.Stage
	if best.State == worker.Staged {
		kind = order.Switch
	}
	return []task.Task{{Worker: best.Name, Kind: kind}}
}

// Excluded reports whether a worker must get no new rollout requests: the pool has begun
// to switch and this worker doesn't use the new version yet. Without it samples would
// still begin on weights that the trainer has replaced.
func (r *Rollout) Excluded(w *worker.Worker) bool {
	return r.switching && w.State != worker.Switched
}

// switchDue reports whether to switch: when all workers are staged, or when the wait
// for all is over and a quorum is staged. Otherwise one unreachable worker would block
// the new version for all others.
func (r *Rollout) switchDue(staged, available int, now time.Time) bool {
	if available == 0 {
		return false
	}
	if staged == available {
		return true
	}
	waited := now.Sub(r.startedAt) >= r.quorumAfter
	return waited && float64(staged) >= r.quorum*float64(available)
}

func (r *Rollout) refill(now time.Time) {
	if r.startedAt.IsZero() {
		r.startedAt = now
		r.lastRefill = now
	}
	seconds := now.Sub(r.lastRefill).Seconds()
	r.lastRefill = now
	r.rate = min(r.maxRate, r.rate+rateRecovery*r.maxRate*seconds)
	// The bucket holds one second's worth of tokens; otherwise the rollout would
	// send the store a burst after a pause.
	r.tokens = min(max(1, r.maxRate), r.tokens+r.rate*seconds)
}

// orderStages returns orders to stage for the next workers: those with the least live
// load first, and at most growth times as many in flight as workers on which the
// version has loaded, plus one. A faulty version then fails on the first few only.
func (r *Rollout) orderStages(workers []worker.Worker, succeeded int, now time.Time) []task.Task {
	r.candidates = r.candidates[:0]
	inFlight := 0
	for i := range workers {
		w := &workers[i]
		if w.State == worker.Staging {
			inFlight++
		}
		if w.State != worker.Unstaged || w.Failures >= maxAttempts || now.Before(w.NotBefore) {
			continue
		}
		r.candidates = append(r.candidates, i)
	}
	slices.SortFunc(r.candidates, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(workers[a].Failures, workers[b].Failures),
			cmp.Compare(workers[a].LiveLoad, workers[b].LiveLoad),
			cmp.Compare(a, b),
		)
	})
	var tasks []task.Task
	for _, i := range r.candidates {
		if r.tokens < 1 || inFlight > r.growth*succeeded {
			break
		}
		r.tokens--
		inFlight++
		tasks = append(tasks, task.Task{Worker: workers[i].Name, Kind: order.Stage})
	}
	return tasks
}

// orderSwitches returns orders to switch, in waves of at most growth times as many as
// workers that have switched, plus one. All at once would lose the whole pool to a
// version that loads and then fails in use.
func (r *Rollout) orderSwitches(workers []worker.Worker, succeeded int, now time.Time) []task.Task {
	inFlight := 0
	for i := range workers {
		if workers[i].State == worker.Switching || workers[i].State == worker.Unknown {
			inFlight++
		}
	}
	var tasks []task.Task
	for i := range workers {
		w := &workers[i]
		if inFlight > r.growth*succeeded {
			break
		}
		if w.State == worker.Staged && w.Failures < maxAttempts && !now.Before(w.NotBefore) {
			inFlight++
			tasks = append(tasks, task.Task{Worker: w.Name, Kind: order.Switch})
		}
	}
	return tasks
}

// queryUnknown queries the workers whose last order has an unknown outcome. A second
// order before the answer could undo or repeat the first.
func queryUnknown(workers []worker.Worker, now time.Time) []task.Task {
	var tasks []task.Task
	for i := range workers {
		w := &workers[i]
		if w.State == worker.Unknown && !now.Before(w.NotBefore) {
			tasks = append(tasks, task.Task{Worker: w.Name, Kind: task.Ask})
		}
	}
	return tasks
}

// versionFaulty reports whether the failures indicate a fault in the version, for the
// step from state before to state done. The steps are tested apart because a version
// may load and then fail in use, and many loads must not hide that. Each worker counts
// once: one that fails three times is no more evidence than one that fails once.
func versionFaulty(workers []worker.Worker, before, done string) bool {
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
	evidence := failed*math.Log(badFaultProb/soundFaultProb) + sound*math.Log((1-badFaultProb)/(1-soundFaultProb))
	return evidence >= math.Log(1/falseHaltProb)
}

// countStates returns how many workers are staged, how many have switched, and how
// many are available.
func countStates(workers []worker.Worker) (staged, switched, available int) {
	for i := range workers {
		switch workers[i].State {
		case worker.Unavailable:
			continue
		case worker.Staged, worker.Switching:
			staged++
		case worker.Switched:
			switched++
		}
		available++
	}
	return staged, switched, available
}
