// Package ledger decides which samples a trainer has got: each slot of a group
// is delivered exactly once, whoever holds the subscription.
//
// It is pure: the holder keeps it in memory, writes its JSON to the key-value
// service before an offer leaves (in an outage afterwards), and a successor goes
// on from that JSON. What the JSON lacks, the trainer's cursor brings.
//
// Two calls make a take-over safe: Adopt, whose changed fence makes every later
// write of the old holder fail its compare-and-swap, and Settle, which refuses a
// cursor of a later holder, so that an old one that cannot reach the service
// learns from the trainer that it has been overtaken.
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
	// keepSteps is for how many steps the ids of whole groups are remembered, so
	// that a group which is submitted again is known. A trainer submits a group
	// again within the step that it belongs to; staleness bounds are a few
	// versions, and one version is one step.
	keepSteps = 8
	// MaxSamples bounds a group.
	MaxSamples = 1024
	wordBits   = 64
)

type (
	// Ledger is the record of one subscription. Its fields are what is stored.
	Ledger struct {
		Subscription string `json:"subscription"`
		// Operation is the identity of the write that stored it; it tells a
		// holder whose answer was lost whether its write took effect.
		Operation string `json:"operation"`
		// Fence is the fencing number of the holder that stored it.
		Fence int64 `json:"fence"`
		// Published is the trainer's newest weight version.
		Published int64 `json:"published"`
		// Offer is the number of the last offer that was made.
		Offer int64 `json:"offer"`
		// AckedFence and AckedOffer are the position of the last cursor that the
		// trainer came with; everything up to there is in Groups.
		AckedFence int64 `json:"ackedFence"`
		AckedOffer int64 `json:"ackedOffer"`
		// Outstanding are the slots of the offer Offer, until a cursor settles
		// it; empty when there is none.
		Outstanding []string `json:"outstanding,omitempty"`
		// MaxStep is the greatest step of any group.
		MaxStep int64 `json:"maxStep"`
		// Groups are all groups that are not whole, and the whole ones of the
		// last keepSteps steps.
		Groups map[string]*group `json:"groups"`
		// Early are samples that a cursor named before their group was known: a
		// holder took the group in and was lost before it could record it. When
		// the trainer submits the group again they count as delivered.
		Early map[string][]int `json:"early,omitempty"`
		// loose are slots that were acknowledged since the last record.
		loose []string
		// recorded is the last offer that a record covers.
		recorded int64
	}

	// mark is how far a stored form reaches.
	mark struct {
		loose int
		offer int64
	}

	group struct {
		Step    int64 `json:"step"`
		Samples int   `json:"samples"`
		// Delivered is a bit for each sample; nil when all are.
		Delivered []uint64 `json:"delivered,omitempty"`
		// Whole says that every sample was delivered.
		Whole bool `json:"whole,omitempty"`
	}

	// OldCursorError says that a trainer came with a position from before the
	// last one that it showed, as after a restart from an older checkpoint.
	OldCursorError struct {
		// Got and Last are offers.
		Got, Last int64
	}

	// OvertakenError says that the trainer has met a later holder.
	OvertakenError struct {
		// Fence is this holder's fencing number, Later the other's.
		Fence, Later int64
	}
)

// Error implements error.
func (e *OldCursorError) Error() string {
	return fmt.Sprintf("the cursor stands at offer %d, but offer %d was acknowledged before", e.Got, e.Last)
}

// Error implements error.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("holder %d was overtaken by holder %d", e.Fence, e.Later)
}

// New returns the ledger of a subscription that has delivered nothing.
//
//	l := ledger.New("drafts")
//	l.Adopt(fence)
func New(subscription string) *Ledger {
	return &Ledger{Subscription: subscription, Groups: map[string]*group{}}
}

// Adopt makes the holder with fence the one that writes from here on. It
// returns false when a later holder has written already.
func (l *Ledger) Adopt(fence int64) bool {
	if fence < l.Fence {
		return false
	}
	l.Fence = fence
	l.recorded = l.Offer
	if l.Groups == nil {
		l.Groups = map[string]*group{}
	}
	return true
}

// Add takes in a group. It returns false when the group is known already. A
// group of a step that has long gone, or another group under a known id, is a
// *fault.FieldError.
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
	if step <= l.MaxStep-keepSteps {
		return false, &fault.FieldError{
			Field:   "step",
			Problem: fmt.Sprintf("%d is too old: step %d has begun, and whole groups are forgotten after %d", step, l.MaxStep, keepSteps),
		}
	}
	l.Groups[id] = &group{Step: step, Samples: samples, Delivered: make([]uint64, (samples+wordBits-1)/wordBits)}
	for _, index := range l.Early[id] {
		l.deliver(sample.SlotID(id, index))
	}
	delete(l.Early, id)
	if step > l.MaxStep {
		l.MaxStep = step
		l.forget()
	}
	return true, nil
}

// forget drops whole groups of steps that have long gone.
func (l *Ledger) forget() {
	for id, g := range l.Groups {
		if g.Whole && g.Step <= l.MaxStep-keepSteps {
			delete(l.Groups, id)
		}
	}
}

// Owes reports whether the slot belongs to a known group and no cursor has said
// that the trainer has it.
func (l *Ledger) Owes(id string) bool {
	name, index, err := sample.ParseSlotID(id)
	if err != nil {
		return false
	}
	g := l.Groups[name]
	if g == nil || g.Whole || index >= g.Samples {
		return false
	}
	return g.Delivered[index/wordBits]&(1<<(index%wordBits)) == 0
}

// Open returns how many slots are owed.
func (l *Ledger) Open() int {
	n := 0
	for _, g := range l.Groups {
		if !g.Whole {
			n += g.Samples - count(g.Delivered)
		}
	}
	return n
}

// Position returns the last cursor that a trainer came with, for one that does
// not carry its own.
func (l *Ledger) Position() cursor.Cursor {
	return cursor.Cursor{Subscription: l.Subscription, Fence: l.AckedFence, Offer: l.AckedOffer, Base: l.AckedOffer}
}

// Settle takes in the cursor of a trainer's pull: what it names has been
// delivered, and an outstanding offer that it does not name has not. Its errors
// are *fault.FieldError, *OldCursorError and *OvertakenError.
func (l *Ledger) Settle(c cursor.Cursor) error {
	if c.Subscription != "" && c.Subscription != l.Subscription {
		return &fault.FieldError{Field: "cursor", Problem: "belongs to subscription " + c.Subscription}
	}
	if c.Fence > l.Fence {
		return &OvertakenError{Fence: l.Fence, Later: c.Fence}
	}
	if c.Before(l.Position()) {
		return &OldCursorError{Got: c.Offer, Last: l.AckedOffer}
	}
	if !l.Position().Before(c) {
		return nil
	}
	for _, id := range c.Taken {
		l.take(id)
	}
	l.AckedFence, l.AckedOffer = c.Fence, c.Offer
	l.Offer = max(l.Offer, c.Offer)
	l.Outstanding = nil
	return nil
}

// Make begins the next offer, or makes the outstanding one anew: the trainer's
// cursor has said that it did not take it.
func (l *Ledger) Make(slots []string) {
	if l.Outstanding == nil {
		l.Offer++
	}
	l.Outstanding = slices.Clone(slots)
}

// Withdraw gives up the outstanding offer and its number.
func (l *Ledger) Withdraw() {
	l.Outstanding = nil
}

// Store returns the JSON to store under an operation's identity, and the mark
// to call Recorded with once it is stored.
func (l *Ledger) Store(operation string) ([]byte, mark, error) {
	l.Operation = operation
	raw, err := json.Marshal(l)
	return raw, mark{loose: len(l.loose), offer: l.Offer}, errors.Wrap(err, "encoding a ledger")
}

// Recorded notes that what Store returned with m is stored. What a cursor has
// brought since then is not.
func (l *Ledger) Recorded(m mark) {
	l.loose = l.loose[m.loose:]
	l.recorded = max(l.recorded, m.offer)
}

// Unrecorded reports whether the trainer has acknowledged more than is stored.
func (l *Ledger) Unrecorded() bool {
	return len(l.loose) > 0 || l.recorded < l.Offer
}

// Cursor returns what the trainer is to carry once it has taken the outstanding
// offer.
func (l *Ledger) Cursor() cursor.Cursor {
	return cursor.Cursor{
		Subscription: l.Subscription,
		Fence:        l.Fence,
		Offer:        l.Offer,
		Base:         min(l.recorded, l.Offer),
		Taken:        append(slices.Clone(l.loose), l.Outstanding...),
	}
}

// take marks a slot that a cursor names, or remembers it until its group comes.
func (l *Ledger) take(id string) {
	name, index, err := sample.ParseSlotID(id)
	if err != nil || l.Groups[name] != nil {
		l.deliver(id)
		return
	}
	if l.Early == nil {
		l.Early = map[string][]int{}
	}
	if !slices.Contains(l.Early[name], index) {
		l.Early[name] = append(l.Early[name], index)
		l.loose = append(l.loose, id)
	}
}

func (l *Ledger) deliver(id string) {
	if !l.Owes(id) {
		return
	}
	name, index, _ := sample.ParseSlotID(id)
	g := l.Groups[name]
	g.Delivered[index/wordBits] |= 1 << (index % wordBits)
	l.loose = append(l.loose, id)
	if count(g.Delivered) == g.Samples {
		g.Whole = true
		g.Delivered = nil
	}
}

func count(words []uint64) int {
	n := 0
	for _, w := range words {
		n += bits.OnesCount64(w)
	}
	return n
}
