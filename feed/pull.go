package feed

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/cursor"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/ledger"
	"github.com/lavendermux/lavendermux/offer"
	"github.com/lavendermux/lavendermux/sample"
)

const (
	// defaultGatherDelay is how long a pull collects further samples after the first. It
	// limits each trainer to five store writes per second: every offer is recorded before
	// it is sent, and the metadata store handles several hundred writes per second in
	// total.
	defaultGatherDelay = 200 * time.Millisecond
	// maxPullGap is the maximum time between two pulls of one wait. A trainer that does
	// not pull for longer is training.
	maxPullGap = time.Second
	// maxLostGroups is the maximum number of lost groups listed in an offer.
	maxLostGroups = 64
)

// Pull applies the trainer's cursor and returns the next samples, at most limit, waiting
// up to wait for the first. Published is the newest version that the trainer knows to
// have published, or 0 if it does not say; a disconnected holder may not know it.
//
// A repeated pull with the same cursor gets an offer with the same number, possibly with
// other samples. The trainer may use either offer: its cursor lists what it received.
//
// A trainer that keeps no cursor gets the outstanding offer again until it acknowledges
// it with Ack, and no offer is sent to it before it is recorded.
func (f *Feed) Pull(
	ctx context.Context, encoded string, published int64, limit int, wait time.Duration,
) (*offer.Offer, error) {
	if err := f.pullMu.Lock(ctx); err != nil {
		return nil, &fault.NotRunError{Cause: CauseBusy, Reason: "another pull of this subscription is under way"}
	}
	defer f.pullMu.Unlock()
	f.pullStarted(time.Now())
	defer f.waited()
	// A version published during an outage may be known only to the trainer.
	if err := f.Publish(ctx, published); err != nil {
		return nil, err
	}
	c, err := f.acknowledge(encoded)
	if err != nil {
		return nil, err
	}
	picked := f.outstandingSamples()
	if picked == nil {
		picked = f.awaitSamples(ctx, limit, wait)
		if len(picked) == 0 {
			return f.emptyOffer(c), f.endReason()
		}
		f.mu.Lock()
		f.deliveries.MakeOffer(sampleIDs(picked))
		f.mu.Unlock()
	}
	for len(picked) > 0 {
		if err := f.saveOffer(ctx, published); err != nil {
			return nil, err
		}
		var out *offer.Offer
		if out, picked = f.buildOffer(c, picked); out != nil {
			return out, f.Fenced()
		}
	}
	return f.emptyOffer(c), f.Fenced()
}

// outstandingSamples returns the samples of the outstanding offer of a trainer that keeps
// no cursor, if the offer can be repeated unchanged. Such a trainer acknowledges only the
// number, so one number must never stand for two sets of samples. If a sample has exceeded
// the staleness bound, the offer is withdrawn together with its number.
func (f *Feed) outstandingSamples() []*sample.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config().TrainerCursor || f.deliveries.Outstanding == nil {
		return nil
	}
	var out []*sample.Sample
	for _, id := range f.deliveries.Outstanding {
		s := f.slot(id)
		if s == nil || !f.checkFresh(s) {
			f.deliveries.Withdraw()
			return nil
		}
		out = append(out, s.ready)
	}
	return out
}

// Position returns the cursor of the last acknowledged offer, for a trainer that starts
// without one. Samples of an offer that was not acknowledged are delivered again.
func (f *Feed) Position() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deliveries.Position().Encode()
}

// Ack acknowledges an offer, for a trainer that keeps no cursor. It returns a
// *fault.FieldError if the offer is not outstanding.
func (f *Feed) Ack(ctx context.Context, number int64) error {
	f.mu.Lock()
	c := f.deliveries.Cursor()
	outstanding := f.deliveries.Outstanding != nil && c.Offer == number
	known := number <= f.deliveries.AckedOffer
	f.mu.Unlock()
	switch {
	case known:
		return nil
	case !outstanding:
		return &fault.FieldError{Field: "offer", Problem: "no such offer is outstanding"}
	}
	if _, err := f.acknowledge(c.Encode()); err != nil {
		return err
	}
	err := f.save(ctx)
	var down *fault.UnavailableError
	if errors.As(err, &down) {
		// The record of the next offer includes the acknowledgement.
		return nil
	}
	return err
}

// acknowledge applies a cursor and removes what it acknowledges.
func (f *Feed) acknowledge(encoded string) (cursor.Cursor, error) {
	c, err := cursor.Decode(encoded)
	if err != nil {
		return c, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fenced != nil {
		return c, f.fenced
	}
	if encoded == "" && !f.config().TrainerCursor {
		c = f.deliveries.Position()
	}
	err = f.deliveries.Acknowledge(c)
	var fenced *ledger.FencedError
	if errors.As(err, &fenced) {
		f.fenced = fenced
		f.notify()
	}
	if err != nil {
		return c, err
	}
	f.clear()
	return c, nil
}

// clear removes groups and steps that are completely delivered. The caller holds mu.
func (f *Feed) clear() {
	steps := f.steps[:0]
	for _, st := range f.steps {
		groups := st.groups[:0]
		for _, g := range st.groups {
			if f.updateDelivered(g) {
				delete(f.groups, g.ID)
				go f.replicator.DropGroup(context.Background(), f.name, g.ID)
				continue
			}
			groups = append(groups, g)
		}
		st.groups = groups
		if len(groups) > 0 {
			steps = append(steps, st)
			continue
		}
		if took := time.Since(st.startedAt); took > time.Duration(f.config().StepTarget) {
			f.stats.LateSteps++
			f.log.Warn("step took too long", "subscription", f.name, "step", st.number, "took", took)
		}
	}
	f.steps = steps
}

// updateDelivered updates the delivered slots of a group and reports whether the group is
// complete.
func (f *Feed) updateDelivered(g *group) bool {
	complete := true
	for _, s := range g.slots {
		if !s.delivered && !f.deliveries.IsPending(s.id) {
			s.delivered = true
			s.ready = nil
			f.stats.Delivered++
		}
		complete = complete && s.delivered
	}
	return complete
}

// awaitSamples waits up to wait for samples that may be delivered. After the first it
// collects further ones for a short time.
func (f *Feed) awaitSamples(ctx context.Context, limit int, wait time.Duration) []*sample.Sample {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	var gathered <-chan time.Time
	for {
		f.mu.Lock()
		picked, incomplete := f.pickSamples(limit)
		lost := len(picked) == 0 && len(f.lostGroups()) > 0
		changed := f.changed
		fenced, closed := f.fenced != nil, f.closed != nil
		f.mu.Unlock()
		if fenced {
			return nil
		}
		if closed {
			return picked
		}
		if lost {
			// Nothing becomes ready before the trainer resubmits the lost groups.
			return nil
		}
		if len(picked) >= limit || (len(picked) > 0 && !incomplete) {
			return picked
		}
		if len(picked) > 0 && gathered == nil {
			timer := time.NewTimer(f.gatherDelay)
			defer timer.Stop()
			gathered = timer.C
		}
		select {
		case <-changed:
		case <-gathered:
			return picked
		case <-deadline.C:
			return picked
		case <-ctx.Done():
			return nil
		}
	}
}

// pullStarted records the start of a pull. Pulls in quick succession form one wait: the
// trainer lacks samples of its step until it starts to train.
func (f *Feed) pullStarted(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waitStart.IsZero() || now.Sub(f.lastPullEnd) > maxPullGap {
		f.waitStart = now
	}
	f.pullStart = now
}

// waited counts the duration of a pull as idle time of the trainer, as a part of the
// time since the last pull ended.
func (f *Feed) waited() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	waited := now.Sub(f.pullStart)
	f.stats.IdleSeconds += waited.Seconds()
	if !f.lastPullEnd.IsZero() {
		f.observer.Idle(f.name, waited, now.Sub(f.lastPullEnd), f.config().Pool)
	}
	f.pullStart = time.Time{}
	f.lastPullEnd = now
}

// idleSince returns when the trainer started to wait; zero while it trains. The caller
// holds mu.
func (f *Feed) idleSince(now time.Time) time.Time {
	if f.pullStart.IsZero() && now.Sub(f.lastPullEnd) > maxPullGap {
		return time.Time{}
	}
	return f.waitStart
}

// pickSamples returns up to limit ready samples within the staleness bound, lowest step
// first, and whether any slot still lacks a sample. The caller holds mu.
func (f *Feed) pickSamples(limit int) ([]*sample.Sample, bool) {
	var picked []*sample.Sample
	incomplete := false
	for _, st := range f.steps {
		for _, g := range st.groups {
			for _, s := range g.slots {
				switch {
				case s.delivered:
				case !f.checkFresh(s):
					incomplete = true
				case len(picked) < limit:
					picked = append(picked, s.ready)
				}
			}
		}
	}
	return picked, incomplete
}

// checkFresh reports whether the slot's sample may be delivered now. It discards a
// sample that exceeds the staleness bound, which is then generated again. The check is made
// at delivery because the trainer may have published a version since the sample was
// generated or first offered. The caller holds mu.
func (f *Feed) checkFresh(s *slotState) bool {
	if s.ready == nil {
		return false
	}
	oldest, err := s.ready.OldestVersion()
	if err == nil && f.deliveries.Published-oldest <= f.config().StalenessBound {
		return true
	}
	f.stats.Stale++
	f.stats.Wasted += s.ready.Tokens
	s.ready = nil
	s.tokens = 0
	return false
}

// saveOffer stores the offer before it is sent. While the metadata store is unavailable, a
// trainer gets the offer without a record only if it sends both its cursor, which replaces
// the record, and the version that it has published. Without a cursor, the delivery would
// be unknown after the loss of this holder. Without the version, a holder that is
// disconnected and fenced would miss newer versions and deliver samples that exceed the
// staleness bound.
func (f *Feed) saveOffer(ctx context.Context, published int64) error {
	f.mu.Lock()
	stored := !f.deliveries.Dirty()
	f.mu.Unlock()
	if stored {
		// The offer is a repetition of a recorded one.
		return nil
	}
	err := f.save(ctx)
	var down *fault.UnavailableError
	if !errors.As(err, &down) {
		return err
	}
	if f.config().TrainerCursor && published > 0 {
		f.mu.Lock()
		f.stats.Unrecorded++
		f.mu.Unlock()
		return nil
	}
	return &fault.NotRunError{
		Cause:      CauseMetadataStore,
		Reason:     "the offer could not be recorded, and this trainer's pull does not carry both its cursor and what it has published",
		RetryAfter: 2 * storeBackoff,
	}
}

// buildOffer returns an offer of the picked samples. It checks their staleness again, since
// recording took time. It returns no offer but the remaining samples if those must be
// recorded first, and neither if no samples remain.
//
// A trainer without a cursor acknowledges the number of the offer. If the remaining samples
// were sent under a new number without a record, a successor would reject that number and
// deliver the same samples again.
func (f *Feed) buildOffer(c cursor.Cursor, picked []*sample.Sample) (*offer.Offer, []*sample.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.filterFresh(picked)
	if len(left) < len(picked) && !f.config().TrainerCursor {
		// This number has not been sent yet.
		f.deliveries.Withdraw()
		if len(left) > 0 {
			f.deliveries.MakeOffer(sampleIDs(left))
		}
		return nil, left
	}
	if len(left) == 0 {
		return nil, nil
	}
	out := f.newOffer(c)
	for _, s := range left {
		out.Samples = append(out.Samples, *s)
		f.observeSample(f.slot(s.ID))
	}
	f.deliveries.MakeOffer(sampleIDs(left))
	out.Offer = f.deliveries.Offer
	out.Cursor = f.deliveries.Cursor().Encode()
	return out, nil
}

// filterFresh returns the samples that may still be delivered. The caller holds mu.
func (f *Feed) filterFresh(picked []*sample.Sample) []*sample.Sample {
	var left []*sample.Sample
	for _, s := range picked {
		slot := f.slot(s.ID)
		if slot != nil && slot.ready == s && f.checkFresh(slot) {
			left = append(left, s)
		}
	}
	return left
}

// observeSample reports the staleness of a sample at delivery to the observer.
func (f *Feed) observeSample(s *slotState) {
	oldest, err := s.ready.OldestVersion()
	if err == nil {
		f.observer.Sample(f.name, f.deliveries.Published-oldest, f.config().StalenessBound, s.endpoint)
	}
}

func (f *Feed) emptyOffer(c cursor.Cursor) *offer.Offer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newOffer(c)
}

// newOffer returns an offer without samples, with the trainer's own cursor.
func (f *Feed) newOffer(c cursor.Cursor) *offer.Offer {
	out := &offer.Offer{
		Published:  strconv.FormatInt(f.deliveries.Published, 10),
		Open:       f.deliveries.Open(),
		Samples:    []sample.Sample{},
		LostGroups: f.lostGroups(),
	}
	if c.Subscription != "" {
		out.Cursor = c.Encode()
	}
	return out
}

// lostGroups returns incomplete groups whose prompts this holder lacks. The caller holds mu.
func (f *Feed) lostGroups() []string {
	var lost []string
	for id, g := range f.deliveries.Groups {
		if !g.Complete && f.groups[id] == nil && len(lost) < maxLostGroups {
			lost = append(lost, id)
		}
	}
	return lost
}

func sampleIDs(samples []*sample.Sample) []string {
	out := make([]string, len(samples))
	for i, s := range samples {
		out[i] = s.ID
	}
	return out
}

func fieldAt(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}
