// Package ledger tracks which samples have been delivered to a trainer. Each slot of
// a group is delivered exactly once, also across changes of the subscription's holder.
//
// The package does no I/O: the holder keeps the ledger in memory and writes its JSON to
// the metadata store before it sends an offer, or afterwards if the store is
// unavailable. A successor resumes from that JSON; deliveries that are missing there
// are taken from the trainer's cursor.
//
// Two calls make failover safe. Adopt stores a new fencing token, so that every later
// compare-and-swap of the old holder fails. Acknowledge rejects a cursor issued by a later
// holder, so that an old holder that cannot reach the store learns from the trainer
// that it is fenced.
package ledger

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/cursor"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/sample"
)

const (
	// rememberedSteps is the number of steps for which IDs of complete groups are retained,
	// to detect resubmitted groups. A trainer resubmits a group within the group's own
	// step; staleness bounds are a few versions, and one version is one step.
	rememberedSteps = 8
	// MaxSamples is the maximum number of samples per group.
	MaxSamples = 1024
	wordBits   = 64
)

type (
	// Ledger is the delivery record of one subscription. Its exported fields are stored.
	Ledger struct {
		Subscription string `json:"subscription"`
		// Operation is the ID of the write that stored this ledger. A holder that
		// got no response compares it to find out whether its write took effect.
		Operation string `json:"operation"`
		// Fence is the fencing token of the holder that stored this ledger.
		Fence int64 `json:"fence"`
		// Published is the trainer's newest weight version.
		Published int64 `json:"published"`
		// Offer is the sequence number of the last offer.
		Offer int64 `json:"offer"`
		// AckedFence and AckedOffer are the position of the trainer's last cursor;
		// Groups covers everything up to it.
		AckedFence int64 `json:"ackedFence"`
		AckedOffer int64 `json:"ackedOffer"`
		// Outstanding lists the slots of the last offer until a cursor acknowledges it
		// or a later one; empty if no offer is outstanding.
		Outstanding []string `json:"outstanding,omitempty"`
		// MaxStep is the highest step of any group.
		MaxStep int64 `json:"maxStep"`
		// Groups holds all incomplete groups, and the complete ones of the last
		// rememberedSteps steps.
		Groups map[string]*group `json:"groups"`
		// EarlyAcks holds sample indexes that a cursor acknowledged before their group was
		// known, by group: a holder accepted the group and was lost before it could
		// record it. They count as delivered once the trainer resubmits the group.
		EarlyAcks map[string][]int `json:"early,omitempty"`
		// unstored lists slots acknowledged since the last stored snapshot.
		unstored []string
		// storedOffer is the last offer covered by a stored snapshot.
		storedOffer int64
	}

	// snapshotMark is the state covered by a snapshot.
	snapshotMark struct {
		unstored int
		offer    int64
	}

	group struct {
		Step    int64 `json:"step"`
		Samples int   `json:"samples"`
		// Delivered has one bit per sample; nil if all are delivered.
		Delivered []uint64 `json:"delivered,omitempty"`
		// Complete is set once every sample is delivered.
		Complete bool `json:"whole,omitempty"`
	}

	// OldCursorError reports that a trainer presented a position before its last
	// acknowledged one, for example after a restart from an older checkpoint.
	OldCursorError struct {
		// Got is the offer in the cursor, Last the last acknowledged offer.
		Got, Last int64
	}

	// FencedError reports that a later holder has taken over.
	FencedError struct {
		// Fence is this holder's fencing token, Current that of the later holder.
		Fence, Current int64
	}
)

// Error implements error.
func (e *OldCursorError) Error() string {
	return fmt.Sprintf("the cursor stands at offer %d, but offer %d was acknowledged before", e.Got, e.Last)
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("holder %d was overtaken by holder %d", e.Fence, e.Current)
}

// New returns the empty ledger of a subscription.
//
//	l := ledger.New("drafts")
//	l.Adopt(fence)
func New(subscription string) *Ledger {
	return &Ledger{Subscription: subscription, Groups: map[string]*group{}}
}

// Adopt makes the holder with the fencing token fence the writer of the ledger. It
// returns false if a later holder has already written it.
func (l *Ledger) Adopt(fence int64) bool {
	if fence < l.Fence {
		return false
	}
	l.Fence = fence
	l.storedOffer = l.Offer
	if l.Groups == nil {
		l.Groups = map[string]*group{}
	}
	return true
}

// Add adds a group and reports whether it is new. It returns a *fault.FieldError for
// a group of a step that is too old, or if the ID belongs to a different group.
func (l *Ledger) Add(id string, step int64, samples int) (bool, error) {
	if samples < 1 || samples > MaxSamples {
		return false, &fault.FieldError{Field: "samples", Problem: fmt.Sprintf("is not between 1 and %d", MaxSamples)}
	}
	if known := l.Groups[id]; known != nil {
		if known.Step != step || known.Samples != samples {
			return false, &fault.FieldError{
				Field:   "id",
				Problem: fmt.Sprintf("%q is known with step %d and %d samples", id, known.Step, known.Samples),
			}
		}
		return false, nil
	}
	if step <= l.MaxStep-rememberedSteps {
		return false, &fault.FieldError{
			Field:   "step",
			Problem: fmt.Sprintf("%d is too old: step %d has begun, and whole groups are forgotten after %d", step, l.MaxStep, rememberedSteps),
		}
	}
	l.Groups[id] = &group{Step: step, Samples: samples, Delivered: make([]uint64, (samples+wordBits-1)/wordBits)}
	for _, index := range l.EarlyAcks[id] {
		l.markDelivered(sample.FormatID(id, index))
	}
	delete(l.EarlyAcks, id)
	if step > l.MaxStep {
		l.MaxStep = step
		l.forgetOldGroups()
	}
	return true, nil
}

// forgetOldGroups removes complete groups of old steps.
func (l *Ledger) forgetOldGroups() {
	for groupID, g := range l.Groups {
		if g.Complete && g.Step <= l.MaxStep-rememberedSteps {
			delete(l.Groups, groupID)
		}
	}
}

// IsPending reports whether the slot belongs to a known group and is not acknowledged by
// any cursor.
func (l *Ledger) IsPending(id string) bool {
	name, index, err := sample.ParseID(id)
	if err != nil {
		return false
	}
	g := l.Groups[name]
	if g == nil || g.Complete || index >= g.Samples {
		return false
	}
	return g.Delivered[index/wordBits]&(1<<(index%wordBits)) == 0
}

// Open returns the number of undelivered slots of known groups.
func (l *Ledger) Open() int {
	n := 0
	for _, g := range l.Groups {
		if !g.Complete {
			n += g.Samples - countBits(g.Delivered)
		}
	}
	return n
}

// Position returns the position of the trainer's last cursor, for a trainer that
// keeps no cursor itself.
func (l *Ledger) Position() cursor.Cursor {
	return cursor.Cursor{Subscription: l.Subscription, Fence: l.AckedFence, Offer: l.AckedOffer, Base: l.AckedOffer}
}

// Acknowledge applies the cursor of a trainer's pull: the samples that it lists are
// delivered, and an outstanding offer that it does not list is not. Its errors are
// *fault.FieldError, *OldCursorError and *FencedError.
func (l *Ledger) Acknowledge(c cursor.Cursor) error {
	if c.Subscription != "" && c.Subscription != l.Subscription {
		return &fault.FieldError{Field: "cursor", Problem: "belongs to subscription " + c.Subscription}
	}
	if c.Fence > l.Fence {
		return &FencedError{Fence: l.Fence, Current: c.Fence}
	}
	if c.Before(l.Position()) {
		return &OldCursorError{Got: c.Offer, Last: l.AckedOffer}
	}
	if !l.Position().Before(c) {
		return nil
	}
	for _, id := range c.Taken {
		l.acknowledgeSlot(id)
	}
	l.AckedFence, l.AckedOffer = c.Fence, c.Offer
	l.Offer = max(l.Offer, c.Offer)
	l.Outstanding = nil
	return nil
}

// MakeOffer starts the next offer with the given slots, or replaces the slots of the
// outstanding offer, which the trainer's cursor shows was not received.
func (l *Ledger) MakeOffer(slots []string) {
	if l.Outstanding == nil {
		l.Offer++
	}
	l.Outstanding = slices.Clone(slots)
}

// Withdraw cancels the outstanding offer; its sequence number is not used again.
func (l *Ledger) Withdraw() {
	l.Outstanding = nil
}

// Snapshot returns the JSON to write under the ID operation, and the mark to pass to
// MarkStored after the write succeeded.
func (l *Ledger) Snapshot(operation string) ([]byte, snapshotMark, error) {
	l.Operation = operation
	raw, err := json.Marshal(l)
	return raw, snapshotMark{unstored: len(l.unstored), offer: l.Offer}, errors.Wrap(err, "encoding a ledger")
}

// MarkStored marks the snapshot that Snapshot returned with m as stored. Slots that were
// acknowledged after the snapshot remain unstored.
func (l *Ledger) MarkStored(m snapshotMark) {
	l.unstored = l.unstored[m.unstored:]
	l.storedOffer = max(l.storedOffer, m.offer)
}

// Dirty reports whether acknowledgements or offers are not stored yet.
func (l *Ledger) Dirty() bool {
	return len(l.unstored) > 0 || l.storedOffer < l.Offer
}

// Cursor returns the trainer's cursor for after it has received the outstanding offer.
func (l *Ledger) Cursor() cursor.Cursor {
	return cursor.Cursor{
		Subscription: l.Subscription,
		Fence:        l.Fence,
		Offer:        l.Offer,
		Base:         min(l.storedOffer, l.Offer),
		Taken:        append(slices.Clone(l.unstored), l.Outstanding...),
	}
}

// acknowledgeSlot marks a slot of a cursor as delivered, or remembers it until its group
// is added.
func (l *Ledger) acknowledgeSlot(id string) {
	name, index, err := sample.ParseID(id)
	if err != nil || l.Groups[name] != nil {
		l.markDelivered(id)
		return
	}
	if l.EarlyAcks == nil {
		l.EarlyAcks = map[string][]int{}
	}
	if !slices.Contains(l.EarlyAcks[name], index) {
		l.EarlyAcks[name] = append(l.EarlyAcks[name], index)
		l.unstored = append(l.unstored, id)
	}
}

func (l *Ledger) markDelivered(id string) {
	if !l.IsPending(id) {
		return
	}
	name, index, _ := sample.ParseID(id)
	g := l.Groups[name]
	g.Delivered[index/wordBits] |= 1 << (index % wordBits)
	l.unstored = append(l.unstored, id)
	if countBits(g.Delivered) == g.Samples {
		g.Complete = true
		g.Delivered = nil
	}
}

func countBits(words []uint64) int {
	n := 0
	for _, w := range words {
		n += bits.OnesCount64(w)
	}
	return n
}
