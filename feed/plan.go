package feed

import (
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/demand"
	"github.com/lavendermux/lavendermux/sample"
	"github.com/lavendermux/lavendermux/slot"
	"github.com/lavendermux/lavendermux/start"
	"github.com/lavendermux/lavendermux/trial"
)

const (
	// retryDelay is the delay of a slot after a failed attempt. It doubles with each
	// further failure, up to a factor of 2^maxRetryDoublings: under 5 s, since engines that crash
	// in a burst say nothing about the sample, which is owed.
	retryDelay        = 200 * time.Millisecond
	maxRetryDoublings = 4
	// rateWindow is the minimum time over which a token rate is measured: tokens of a
	// rollout are reported about once a second.
	rateWindow = 5 * time.Second
)

// Demand returns the subscription's demand, as input for the scheduler. Loaded is the
// weight version on which new work starts.
func (f *Feed) Demand(loaded int64, now time.Time) demand.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	config := f.config()
	d := demand.Demand{
		Trainer:          f.name,
		MaxStaleness:     config.StalenessBound,
		Version:          f.deliveries.Published,
		LoadedVersion:    min(loaded, f.deliveries.Published),
		Published:        f.publishedAt,
		PublishInterval:  f.publishInterval,
		StepSize:         1,
		ExpectedDuration: f.attemptDuration,
		IdleSince:        f.idleSince(now),
		IdleWeight:       config.IdleWeight,
		StalenessWeight:  config.StalenessWeight,
	}
	for i, st := range f.steps {
		size := 0
		for _, g := range st.groups {
			size += len(g.slots)
			for _, s := range g.slots {
				f.countSlot(&d, s, now)
			}
		}
		if i == 0 {
			d.StepSize = size
		}
	}
	return d
}

func (f *Feed) countSlot(d *demand.Demand, s *slotState, now time.Time) {
	switch {
	case s.delivered:
	case s.ready != nil:
		d.Outstanding++
		d.Ready++
	case len(s.running) > 0:
		d.Outstanding++
	case !now.Before(s.notBefore):
		d.Waiting++
	}
}

// StartAttempts returns up to free attempts to start now, and counts them as running.
func (f *Feed) StartAttempts(free int, now time.Time) []trial.Attempt {
	return f.plan(free, now, func(*slotState) bool { return true })
}

// StartMigrations returns up to free attempts that continue running ones which make no progress on
// their worker, and counts them as running. A rejected migration is delayed as long as a
// first attempt: it does not count as an attempt, so nothing else would end a loop of
// migrations and rejections.
func (f *Feed) StartMigrations(free int, now time.Time) []trial.Attempt {
	return f.plan(free, now, func(s *slotState) bool {
		return s.delivered || s.ready != nil || (len(s.running) > 0 && !now.Before(s.notBefore))
	})
}

// plan starts up to free attempts for the slots for which consider returns true.
func (f *Feed) plan(free int, now time.Time, consider func(*slotState) bool) []trial.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []trial.Attempt
	for _, st := range f.steps {
		if free <= 0 {
			break
		}
		slots, states := f.plannerSlots(st, now, consider)
		for _, s := range f.planner.Next(slots, free, now) {
			out = append(out, f.startAttempt(states[s.Slot], s, now))
			free--
		}
	}
	return out
}

// plannerSlots returns a step's slots in the planner's form, and their states.
func (f *Feed) plannerSlots(st *step, now time.Time, consider func(*slotState) bool) ([]slot.Slot, []*slotState) {
	var (
		slots  []slot.Slot
		states []*slotState
	)
	for i, g := range st.groups {
		for _, s := range g.slots {
			delayed := !s.delivered && s.ready == nil && len(s.running) == 0 && now.Before(s.notBefore)
			if delayed || !consider(s) {
				continue
			}
			d := slot.Slot{
				Group:          i,
				ExpectedLength: g.ExpectedTokens,
				Done:           s.delivered || s.ready != nil,
				Tokens:         s.tokens,
				Attempts:       s.attempts,
			}
			for _, a := range s.running {
				d.AddAttempt(a.worker, a.startedAt, a.generated, tokensPerSecond(a, now))
			}
			slots = append(slots, d)
			states = append(states, s)
		}
	}
	return slots, states
}

// tokensPerSecond returns the token rate of an attempt over the last seconds. The mean over
// the whole attempt would fall only slowly after a worker stalled, and reveal it late.
func tokensPerSecond(a *attempt, now time.Time) float64 {
	a.advanceWindow(now)
	ran := now.Sub(a.prev.at).Seconds()
	if ran <= 0 {
		return 0
	}
	return float64(a.generated-a.prev.generated) / ran
}

// advanceWindow advances the window over which the token rate is measured. The time since
// its start is between one and two lengths of rateWindow.
func (a *attempt) advanceWindow(now time.Time) {
	if now.Sub(a.last.at) >= rateWindow {
		a.prev, a.last = a.last, measurement{at: now, generated: a.generated}
	}
}

// attemptID returns a new attempt ID. Engines and the pool's runner identify work by it,
// so it is unique across subscriptions, whose trainers may use the same group IDs, and
// across holders, since attempts of the last holder may still run.
func (f *Feed) attemptID(slot string) string {
	return fmt.Sprintf("%s/%d/%s@%d", f.name, f.fence, slot, f.attemptSeq)
}

func (f *Feed) startAttempt(s *slotState, decision start.Decision, now time.Time) trial.Attempt {
	f.attemptSeq++
	a := &attempt{id: f.attemptID(s.id), slot: s, startedAt: now}
	a.prev, a.last = measurement{at: now}, measurement{at: now}
	out := trial.Attempt{
		ID:             a.id,
		SampleID:       s.id,
		Prompt:         s.group.Prompt,
		MaxTokens:      s.group.MaxTokens,
		ExpectedLength: s.group.ExpectedTokens,
		AvoidWorker:    decision.AvoidWorker,
	}
	for _, old := range s.running {
		if decision.Stop != "" && old.worker == decision.Stop {
			out.Stop = old.id
		}
	}
	s.attempts++
	s.running = append(s.running, a)
	f.attemptsByID[a.id] = a
	return out
}

// ReportWorker records the worker that an attempt runs on.
func (f *Feed) ReportWorker(id, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.attemptsByID[id]; a != nil {
		now := time.Now()
		a.worker = worker
		a.startedAt = now
		a.generated = 0
		a.prev, a.last = measurement{at: now}, measurement{at: now}
	}
}

// ReportProgress records that an attempt generated the given number of further tokens.
func (f *Feed) ReportProgress(id string, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.attemptsByID[id]; a != nil {
		a.generated += tokens
		a.advanceWindow(time.Now())
	}
}

// ReportSample ends a successful attempt and reports whether its sample is the first for its
// slot. If so, it also returns the IDs of the slot's other attempts, which the caller must
// stop.
func (f *Feed) ReportSample(id string, s *sample.Sample) (bool, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.endAttempt(id)
	if a == nil {
		return false, nil
	}
	f.attemptDuration = time.Duration(ewmaDecay*float64(f.attemptDuration) + (1-ewmaDecay)*float64(time.Since(a.startedAt)))
	if !f.fillSlot(s) {
		f.stats.Wasted += s.Tokens
		return false, nil
	}
	a.slot.endpoint = a.worker
	var others []string
	for _, other := range a.slot.running {
		others = append(others, other.id)
	}
	return true, others
}

// fillSlot stores a sample in its slot if the slot has none, and reports whether it did.
// The caller holds mu.
func (f *Feed) fillSlot(s *sample.Sample) bool {
	slot := f.slot(s.ID)
	if slot == nil || slot.delivered || slot.ready != nil {
		return false
	}
	if _, err := s.OldestVersion(); err != nil {
		f.stats.Unattributed++
		return false
	}
	s.Step = slot.group.Step
	slot.ready = s
	slot.tokens = s.Tokens
	f.notify()
	return true
}

// ReportFailure ends an attempt without a sample. Wasted is the number of tokens that no other
// attempt continues; planned is set if the attempt was stopped on purpose.
func (f *Feed) ReportFailure(id string, wasted int64, planned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.endAttempt(id)
	if a == nil {
		return
	}
	f.stats.Wasted += wasted
	if planned {
		return
	}
	f.stats.Failed++
	doublings := min(a.slot.attempts-1, maxRetryDoublings)
	a.slot.notBefore = time.Now().Add(retryDelay << doublings)
}

// ReportRejection ends an attempt that was rejected before it ran. It does not count as an
// attempt, and the slot is not retried before the delay after.
func (f *Feed) ReportRejection(id string, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.endAttempt(id); a != nil {
		a.slot.attempts--
		a.slot.notBefore = time.Now().Add(max(after, retryDelay))
	}
}

// Unattributed counts an attempt with a segment that has no version.
func (f *Feed) Unattributed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Unattributed++
}

// NewSample returns an empty sample with the given sample ID.
func NewSample(id string) (*sample.Sample, error) {
	group, index, err := sample.ParseID(id)
	if err != nil {
		return nil, err
	}
	return &sample.Sample{ID: id, Group: group, Index: index}, nil
}

func (f *Feed) endAttempt(id string) *attempt {
	a := f.attemptsByID[id]
	if a == nil {
		return nil
	}
	delete(f.attemptsByID, id)
	for i, r := range a.slot.running {
		if r == a {
			a.slot.running = append(a.slot.running[:i], a.slot.running[i+1:]...)
			break
		}
	}
	return a
}
