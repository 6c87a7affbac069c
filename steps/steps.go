// Package steps simulates trainers, their steps and shared workers in virtual time, to
// compare scheduling policies on the same seeded load. It has no network and no
// messages: a worker is a speed and a number of slots.
package steps

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/demand"
	"github.com/lavendermux/lavendermux/slot"
	"github.com/lavendermux/lavendermux/start"
	"github.com/lavendermux/lavendermux/stat"
)

const (
	// reportInterval is how often progress is reported and stragglers are looked for.
	reportInterval = 2 * time.Second
	// speedWindow is the time over which a worker's speed is measured.
	speedWindow = 5 * time.Second
	// startBatch is how many samples start for one choice between trainers.
	startBatch = 4
	// startupDelay is how long a worker takes to start a sample.
	startupDelay = time.Second
	// slowDivisor divides the speed of slow workers.
	slowDivisor = 4
)

type (
	// Scenario is a load and the scheduling policies that serve it.
	Scenario struct {
		// Workers each run Slots samples at Speed tokens a second.
		Workers, Slots int
		Speed          float64
		// SlowShare is the share of workers that run at a quarter of the speed, StallShare the
		// share that stalls once, for one to five minutes.
		SlowShare, StallShare float64
		// Duration is the simulated time.
		Duration time.Duration
		// EstimateError is the standard deviation of the logarithm of the sender's length
		// estimate; less than 0 for a sender that gives no estimate.
		EstimateError float64
		// ChooseTrainer picks the trainer whose sample starts next, as sched does.
		ChooseTrainer func(trainers []demand.Demand, now time.Time) (int, bool)
		// NewPlanner returns a planner of starts, such as strag's, for one trainer.
		NewPlanner func() func(slots []slot.Slot, free int, now time.Time) []start.Decision

		rng      *rand.Rand
		now      time.Time
		end      time.Time
		workers  []worker
		free     []int
		events   queue
		trainers []*trainer
		demands  []demand.Demand
		result   *result
		moved    int
		eventSeq int
	}

	worker struct {
		speed      float64
		stallFrom  time.Time
		stallUntil time.Time
	}

	attempt struct {
		worker      int
		trainer     *trainer
		stepSamples *stepSamples
		slot        int
		version     int64
		priorTokens int64
		startedAt   time.Time
		stopped     bool
	}

	// result is what the trainers got.
	result struct {
		// IdleShare is the share of time that each trainer waited for a step.
		IdleShare stat.Series
		// Staleness is the staleness of each delivered sample, in versions.
		Staleness stat.Series
		// StepTime is the time in seconds from a trainer's request for a step until the
		// step was complete.
		StepTime stat.Series
		// DeliveredTokens and WastedTokens are tokens; wasted ones were generated and discarded.
		DeliveredTokens, WastedTokens float64
		// BusyShare is the share of slot time in use.
		BusyShare float64
		// Moved counts stragglers that were resumed on another worker.
		Moved int
		// LengthRatio is the mean length of delivered samples over the mean of all, so less
		// than 1 when long samples are left out.
		LengthRatio float64
	}
)

// Run runs the simulation with a seed and returns what the trainers got.
//
//	r := scenario.Run(1)
//	fmt.Println(r.IdleShare.Mean(), r.Staleness.Quantile(0.99))
func (p *Scenario) Run(seed uint64) *result {
	p.rng = rand.New(rand.NewPCG(seed, seed))
	p.now = time.Unix(0, 0)
	p.end = p.now.Add(p.Duration)
	p.result = &result{}
	p.events = nil
	p.moved = 0
	p.build()
	p.at(p.now.Add(reportInterval), p.onTick)
	for _, t := range p.trainers {
		t.reset(p, seed)
	}
	p.dispatch()
	for len(p.events) > 0 && p.events[0].at.Before(p.end) {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	p.now = p.end
	p.finish()
	return p.result
}

func (p *Scenario) build() {
	p.workers = make([]worker, p.Workers)
	p.free = p.free[:0]
	for i := range p.workers {
		w := &p.workers[i]
		w.speed = p.Speed * (0.9 + 0.2*p.rng.Float64())
		if p.rng.Float64() < p.SlowShare {
			w.speed /= slowDivisor
		}
		if p.rng.Float64() < p.StallShare {
			from := time.Duration(p.rng.Float64() * float64(p.Duration))
			w.stallFrom = p.now.Add(from)
			w.stallUntil = w.stallFrom.Add(time.Minute + time.Duration(p.rng.Float64()*float64(4*time.Minute)))
		}
		for range p.Slots {
			p.free = append(p.free, i)
		}
	}
}

// tokens returns how many tokens a slot of w generates between two times.
func (w *worker) tokens(from, to time.Time) float64 {
	seconds := to.Sub(from).Seconds()
	a, b := later(from, w.stallFrom), earlier(to, w.stallUntil)
	if b.After(a) {
		seconds -= b.Sub(a).Seconds()
	}
	return max(0, seconds) * w.speed
}

// finishTime returns when a slot of w has generated the tokens.
func (w *worker) finishTime(from time.Time, tokens float64) time.Time {
	end := from.Add(seconds(tokens / w.speed))
	if end.After(w.stallFrom) && from.Before(w.stallUntil) {
		end = end.Add(w.stallUntil.Sub(later(from, w.stallFrom)))
	}
	return end
}

func (a *attempt) tokens(p *Scenario, now time.Time) int64 {
	w := &p.workers[a.worker]
	tokens := a.priorTokens + int64(w.tokens(a.startedAt.Add(startupDelay), now))
	return min(tokens, a.stepSamples.lengths[a.slot])
}

// dispatch starts samples until the scheduler declines or no slot is free.
func (p *Scenario) dispatch() {
	for len(p.free) > 0 {
		p.updateDemands()
		i, ok := p.ChooseTrainer(p.demands, p.now)
		if !ok {
			return
		}
		t := p.trainers[i]
		if p.startSamples(t, p.nextOpenStep(t)) == 0 {
			return
		}
	}
}

func (p *Scenario) startSamples(t *trainer, w *stepSamples) int {
	n := startBatch
	if len(p.trainers) == 1 {
		n = len(p.free)
	}
	starts := t.next(w.slots, min(n, len(p.free), w.waiting), p.now)
	for _, s := range starts {
		p.launch(t, w, s)
	}
	return len(starts)
}

// launch starts a sample on a free slot drawn at random.
func (p *Scenario) launch(t *trainer, w *stepSamples, s start.Decision) {
	k := p.rng.IntN(len(p.free))
	for range 4 {
		if p.workerName(p.free[k]) != s.AvoidWorker {
			break
		}
		k = p.rng.IntN(len(p.free))
	}
	a := &attempt{worker: p.free[k], trainer: t, stepSamples: w, slot: s.Slot, version: t.version, startedAt: p.now}
	p.free[k] = p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	sl := &w.slots[s.Slot]
	if sl.Waiting() {
		w.addWaiting(t, s.Slot, -1)
	}
	if s.Stop != "" {
		old := w.running[s.Slot][0]
		a.priorTokens, a.version = old.tokens(p, p.now), old.version
		p.stop(old)
		w.addWaiting(t, s.Slot, -1)
		p.moved++
	}
	sl.Attempts++
	sl.AddAttempt(p.workerName(a.worker), p.now, a.priorTokens, p.Speed)
	w.running[s.Slot] = append(w.running[s.Slot], a)
	left := float64(w.lengths[s.Slot] - a.priorTokens)
	p.at(p.workers[a.worker].finishTime(p.now.Add(startupDelay), left), func() { p.finishAttempt(a) })
}

// stop cancels an attempt and frees its slot.
func (p *Scenario) stop(a *attempt) {
	if a.stopped {
		return
	}
	a.stopped = true
	p.release(a)
}

func (p *Scenario) release(a *attempt) {
	p.free = append(p.free, a.worker)
	p.result.BusyShare += p.now.Sub(a.startedAt).Seconds()
	w := a.stepSamples
	for i, r := range w.running[a.slot] {
		if r == a {
			s := &w.slots[a.slot]
			w.running[a.slot] = slices.Delete(w.running[a.slot], i, i+1)
			s.Running = slices.Delete(s.Running, i, i+1)
			if s.Waiting() {
				w.addWaiting(a.trainer, a.slot, 1)
			}
			return
		}
	}
}

func (p *Scenario) finishAttempt(a *attempt) {
	if a.stopped {
		return
	}
	a.stopped = true
	w := a.stepSamples
	s := &w.slots[a.slot]
	s.Done, s.Tokens = true, w.lengths[a.slot]
	w.versions[a.slot] = a.version
	w.addDone(a.trainer, a.slot, 1)
	p.release(a)
	for _, other := range append([]*attempt(nil), w.running[a.slot]...) {
		p.result.WastedTokens += float64(other.tokens(p, p.now) - other.priorTokens)
		p.stop(other)
	}
	a.trainer.takeStep(p)
	p.dispatch()
}

// onTick reports progress and offers stragglers the slots that no waiting sample
// takes.
func (p *Scenario) onTick() {
	p.at(p.now.Add(reportInterval), p.onTick)
	for _, t := range p.trainers {
		for _, w := range t.openSteps {
			w.updateProgress(p)
		}
	}
	p.dispatch()
	for _, t := range p.trainers {
		for _, w := range t.openSteps {
			if len(p.free) == 0 {
				return
			}
			if w.waiting > 0 {
				continue
			}
			for _, s := range t.next(w.slots, len(p.free), p.now) {
				p.launch(t, w, s)
			}
		}
	}
}

func (p *Scenario) finish() {
	total, deliveredSamples := 0.0, 0.0
	delivered := 0.0
	for _, t := range p.trainers {
		if !t.idleSince.IsZero() {
			t.idleTime += p.now.Sub(t.idleSince)
		}
		p.result.IdleShare.Add(t.idleTime.Seconds() / p.Duration.Seconds())
		total += t.meanLength * float64(t.deliveredSamples)
		deliveredSamples += float64(t.deliveredSamples)
		delivered += t.deliveredTokens
	}
	p.result.DeliveredTokens = delivered
	if total > 0 {
		p.result.LengthRatio = delivered / total
	}
	p.result.Moved = p.moved
	p.result.BusyShare /= float64(p.Workers*p.Slots) * p.Duration.Seconds()
}

func (p *Scenario) workerName(w int) string {
	return names[w%len(names)]
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e6) * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
