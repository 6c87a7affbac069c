package steps

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/lavendermux/lavendermux/demand"
	"github.com/lavendermux/lavendermux/slot"
	"github.com/lavendermux/lavendermux/start"
)

const (
	// groupSpread and sampleSpread are the standard deviations of the logarithm of
	// lengths between groups and within one.
	groupSpread  = 0.7
	sampleSpread = 0.4
	// maxLengthRatio is the maximum length as a multiple of the median.
	maxLengthRatio = 8
)

type (
	trainer struct {
		index           int
		maxStaleness    int64
		stepSize        int
		group           int
		trainTime       time.Duration
		median          float64
		idleWeight      float64
		stalenessWeight float64

		next             func([]slot.Slot, int, time.Time) []start.Decision
		rng              *rand.Rand
		doneSamples      int
		outstanding      int
		waitingSamples   int
		completeGroups   int
		version          int64
		publishedAt      time.Time
		publishInterval  time.Duration
		idleSince        time.Time
		idleTime         time.Duration
		openSteps        []*stepSamples
		deliveredSamples int
		deliveredTokens  float64
		meanLength       float64
	}

	// stepSamples is the samples of one step.
	stepSamples struct {
		slots       []slot.Slot
		lengths     []int64
		versions    []int64
		running     [][]*attempt
		delivered   []bool
		doneInGroup []int
		waiting     int
		group       int
	}
)

var names = workerNames()

func workerNames() []string {
	list := make([]string, 1024)
	for i := range list {
		list[i] = "worker-" + strconv.Itoa(i)
	}
	return list
}

// AddTrainer adds a trainer. It takes stepSize samples in complete groups of group
// samples, trains on them for trainTime, publishes a version and requests the next
// step; it accepts samples up to maxStaleness versions old. Median is the median
// length in tokens; idleWeight and stalenessWeight are the scheduling weights set by
// its operators.
func (p *Scenario) AddTrainer(stepSize, group int, maxStaleness int64, trainTime time.Duration, median, idleWeight, stalenessWeight float64) {
	p.trainers = append(p.trainers, &trainer{
		index: len(p.trainers), stepSize: stepSize, group: group, maxStaleness: maxStaleness, trainTime: trainTime,
		median: median, idleWeight: idleWeight, stalenessWeight: stalenessWeight,
	})
}

// Load returns the tokens that trainers demand over those that workers can generate.
func (p *Scenario) Load() float64 {
	wanted := 0.0
	for _, t := range p.trainers {
		wanted += float64(t.stepSize) * t.expectedLength() / t.trainTime.Seconds()
	}
	return wanted / (float64(p.Workers*p.Slots) * p.Speed)
}

// expectedLength is the mean of the length distribution, ignoring the cap on length.
func (t *trainer) expectedLength() float64 {
	return t.median * math.Exp((groupSpread*groupSpread+sampleSpread*sampleSpread)/2)
}

func (t *trainer) reset(p *Scenario, seed uint64) {
	*t = trainer{
		index: t.index, maxStaleness: t.maxStaleness, stepSize: t.stepSize, group: t.group, trainTime: t.trainTime,
		median: t.median, idleWeight: t.idleWeight, stalenessWeight: t.stalenessWeight,
	}
	t.next = p.NewPlanner()
	t.rng = rand.New(rand.NewPCG(seed, uint64(t.index)+1))
	t.publishInterval = t.trainTime
	t.publishedAt = p.now
	t.idleSince = p.now
	t.meanLength = t.expectedLength()
	for range t.maxStaleness + 1 {
		t.openSteps = append(t.openSteps, t.stepSamples(p))
	}
}

func (t *trainer) stepSamples(p *Scenario) *stepSamples {
	w := &stepSamples{
		slots:       make([]slot.Slot, t.stepSize),
		lengths:     make([]int64, t.stepSize),
		versions:    make([]int64, t.stepSize),
		running:     make([][]*attempt, t.stepSize),
		delivered:   make([]bool, t.stepSize/t.group),
		doneInGroup: make([]int, t.stepSize/t.group),
		waiting:     t.stepSize,
		group:       t.group,
	}
	for g := range t.stepSize / t.group {
		scale := t.median * math.Exp(groupSpread*t.rng.NormFloat64())
		guess := scale * math.Exp(p.EstimateError*t.rng.NormFloat64())
		for k := range t.group {
			i := g*t.group + k
			length := scale * math.Exp(sampleSpread*t.rng.NormFloat64())
			w.lengths[i] = int64(min(length, maxLengthRatio*t.median)) + 1
			w.slots[i] = slot.Slot{Group: g}
			if p.EstimateError >= 0 {
				w.slots[i].ExpectedLength = int64(guess) + 1
			}
		}
	}
	t.waitingSamples += t.stepSize
	return w
}

// addWaiting adds n, 1 or -1, to the waiting samples for slot i.
func (w *stepSamples) addWaiting(t *trainer, i, n int) {
	if w.delivered[i/w.group] {
		return
	}
	w.waiting += n
	t.waitingSamples += n
	t.outstanding -= n
}

// addDone adds n to the finished samples of slot i's group: 1 when the slot is done,
// -1 when it must be generated again.
func (w *stepSamples) addDone(t *trainer, i, n int) {
	g := i / w.group
	before := w.doneInGroup[g] == w.group
	w.doneInGroup[g] += n
	t.doneSamples += n
	after := w.doneInGroup[g] == w.group
	if after && !before {
		t.completeGroups++
	}
	if before && !after {
		t.completeGroups--
	}
}

func (w *stepSamples) updateProgress(p *Scenario) {
	for i := range w.slots {
		s := &w.slots[i]
		for k, a := range w.running[i] {
			s.Running[k].Tokens = a.tokens(p, p.now)
			from := later(a.startedAt.Add(startupDelay), p.now.Add(-speedWindow))
			s.Running[k].TokensPerSecond = 0
			if p.now.After(from) {
				s.Running[k].TokensPerSecond = p.workers[a.worker].tokens(from, p.now) / p.now.Sub(from).Seconds()
			}
		}
	}
}

// oldestVersion returns the lowest version in group g.
func (w *stepSamples) oldestVersion(g int) int64 {
	return slices.Min(w.versions[g*w.group : (g+1)*w.group])
}

// takeStep gives the trainer its step when enough groups are complete, the oldest
// first.
func (t *trainer) takeStep(p *Scenario) {
	need := t.stepSize / t.group
	if t.idleSince.IsZero() || t.completeGroups < need {
		return
	}
	type ready struct {
		stepSamples   *stepSamples
		group         int
		oldestVersion int64
	}
	var list []ready
	for _, w := range t.openSteps {
		for g := range w.delivered {
			if !w.delivered[g] && w.doneInGroup[g] == w.group {
				list = append(list, ready{w, g, w.oldestVersion(g)})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b ready) int { return int(a.oldestVersion - b.oldestVersion) })
	for _, r := range list[:need] {
		t.deliver(p, r.stepSamples, r.group)
	}
	waited := p.now.Sub(t.idleSince)
	p.result.StepTime.Add(waited.Seconds())
	t.idleTime += waited
	t.idleSince = time.Time{}
	p.at(p.now.Add(t.trainTime), func() { t.publish(p) })
	t.refill(p)
}

func (t *trainer) deliver(p *Scenario, w *stepSamples, g int) {
	w.delivered[g] = true
	t.completeGroups--
	t.doneSamples -= w.group
	t.outstanding -= w.group
	for i := g * w.group; i < (g+1)*w.group; i++ {
		p.result.Staleness.Add(float64(t.version - w.versions[i]))
		t.deliveredSamples++
		t.deliveredTokens += float64(w.lengths[i])
	}
}

// refill opens new steps in place of those that were delivered in full.
func (t *trainer) refill(p *Scenario) {
	t.openSteps = slices.DeleteFunc(t.openSteps, func(w *stepSamples) bool { return !slices.Contains(w.delivered, false) })
	open := 0
	for _, w := range t.openSteps {
		for _, delivered := range w.delivered {
			if !delivered {
				open += w.group
			}
		}
	}
	for ; open+t.stepSize <= (int(t.maxStaleness)+1)*t.stepSize; open += t.stepSize {
		t.openSteps = append(t.openSteps, t.stepSamples(p))
	}
}

// publish publishes a new version and discards samples that are too old for it.
func (t *trainer) publish(p *Scenario) {
	t.version++
	t.publishInterval = (3*t.publishInterval + p.now.Sub(t.publishedAt)) / 4
	t.publishedAt = p.now
	t.idleSince = p.now
	for _, w := range t.openSteps {
		for i := range w.slots {
			t.expire(p, w, i)
		}
	}
	t.takeStep(p)
	p.dispatch()
}

func (t *trainer) expire(p *Scenario, w *stepSamples, i int) {
	s := &w.slots[i]
	if w.delivered[i/w.group] {
		return
	}
	if s.Done && t.version-w.versions[i] > t.maxStaleness {
		p.result.WastedTokens += float64(s.Tokens)
		s.Done, s.Tokens, s.Attempts = false, 0, 0
		w.addDone(t, i, -1)
		w.addWaiting(t, i, 1)
	}
	for _, a := range append([]*attempt(nil), w.running[i]...) {
		if t.version-a.version > t.maxStaleness {
			p.result.WastedTokens += float64(a.tokens(p, p.now))
			p.stop(a)
			s.Attempts = 0
		}
	}
}

// updateDemands recomputes the demands of all trainers for the present time.
func (p *Scenario) updateDemands() {
	p.demands = p.demands[:0]
	for _, t := range p.trainers {
		p.demands = append(p.demands, t.demand(p))
	}
}

func (t *trainer) demand(p *Scenario) demand.Demand {
	d := demand.Demand{
		ExpectedDuration: seconds(t.expectedLength() / p.Speed),
		Trainer:          strconv.Itoa(t.index), MaxStaleness: t.maxStaleness, Version: t.version, LoadedVersion: t.version,
		Published: t.publishedAt, PublishInterval: t.publishInterval, StepSize: t.stepSize, IdleSince: t.idleSince,
		IdleWeight: t.idleWeight, StalenessWeight: t.stalenessWeight,
		Ready: t.doneSamples, Outstanding: t.outstanding, Waiting: t.waitingSamples,
	}
	return d
}

func (p *Scenario) nextOpenStep(t *trainer) *stepSamples {
	for _, w := range t.openSteps {
		if w.waiting > 0 {
			return w
		}
	}
	return t.openSteps[0]
}
