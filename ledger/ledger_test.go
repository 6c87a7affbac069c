package ledger_test

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/cursor"
	"github.com/lavendermux/lavendermux/ledger"
	"github.com/lavendermux/lavendermux/sample"
)

const samples = 3

type (
	// play is a trainer, some holders of its subscription, of which all but the
	// last believe wrongly that they hold it, and the key-value service.
	play struct {
		t       *rapid.T
		stored  []byte
		rev     int
		fence   int64
		holders []*holder
		// what the trainer has.
		position string
		taken    map[string]bool
		groups   []string
	}

	holder struct {
		book *ledger.Ledger
		rev  int
		// cut is true while it cannot reach the service.
		cut bool
		// over is true once it has learnt that it was overtaken.
		over bool
	}
)

// takeOver makes a new holder from what is stored.
func (p *play) takeOver() {
	book := ledger.New("s")
	if p.stored != nil {
		if err := json.Unmarshal(p.stored, book); err != nil {
			p.t.Fatal(err)
		}
	}
	p.fence++
	if !book.Adopt(p.fence) {
		p.t.Fatal("a greater fence was not taken")
	}
	h := &holder{book: book, rev: p.rev}
	p.holders = append(p.holders, h)
	p.record(h)
}

// record stores a holder's ledger, by compare-and-swap.
func (p *play) record(h *holder) {
	if h.cut {
		return
	}
	if h.rev != p.rev {
		h.over = true
		return
	}
	raw, mark, err := h.book.Store("op")
	if err != nil {
		p.t.Fatal(err)
	}
	p.stored = raw
	p.rev++
	h.rev = p.rev
	h.book.Recorded(mark)
}

func (p *play) submit(h *holder) {
	if h.over {
		return
	}
	id := fmt.Sprintf("g%d", len(p.groups))
	if _, err := h.book.Add(id, int64(len(p.groups)/2), samples); err != nil {
		p.t.Fatal(err)
	}
	p.groups = append(p.groups, id)
	p.record(h)
}

// pull asks a holder with the trainer's cursor; the answer may be lost.
func (p *play) pull(h *holder, lost bool) {
	if h.over {
		return
	}
	c, err := cursor.Decode(p.position)
	if err != nil {
		p.t.Fatal(err)
	}
	err = h.book.Settle(c)
	var overtaken *ledger.OvertakenError
	if errors.As(err, &overtaken) {
		h.over = true
		return
	}
	if err != nil {
		p.t.Fatalf("an honest trainer was refused: %v", err)
	}
	slots := p.owed(h)
	if len(slots) == 0 {
		return
	}
	h.book.Make(slots[:rapid.IntRange(1, len(slots)).Draw(p.t, "size")])
	p.record(h)
	if h.over || lost {
		return
	}
	p.take(h.book.Cursor().Encode(), h.book.Outstanding)
}

func (p *play) take(position string, slots []string) {
	for _, id := range slots {
		if p.taken[id] {
			p.t.Fatalf("%s was delivered twice", id)
		}
		p.taken[id] = true
	}
	p.position = position
}

func (p *play) owed(h *holder) []string {
	var out []string
	for _, g := range p.groups {
		for i := range samples {
			if id := sample.SlotID(g, i); h.book.Owes(id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// A holder is paused or cut off, another one takes the subscription over from
// the record, and both go on serving the trainer, whose answers get lost. The
// trainer must never get a sample twice, and once the newest holder has the
// subscription to itself it must deliver everything that the trainer lacks.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &play{t: t, taken: map[string]bool{}}
		p.takeOver()
		pick := func() *holder { return p.holders[rapid.IntRange(0, len(p.holders)-1).Draw(t, "holder")] }
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(*rapid.T) { p.submit(pick()) },
			"pull":     func(*rapid.T) { p.pull(pick(), false) },
			"pullLost": func(*rapid.T) { p.pull(pick(), true) },
			"cut":      func(*rapid.T) { pick().cut = true },
			"heal": func(*rapid.T) {
				h := pick()
				h.cut = false
				p.record(h)
			},
			"takeOver": func(t *rapid.T) {
				if len(p.holders) > 3 {
					t.Skip("enough holders")
				}
				p.takeOver()
			},
		})
		p.finish()
	})
}

// finish lets the newest holder deliver the rest. The trainer submits again what
// it lacks, as it does when the service owes fewer than that.
func (p *play) finish() {
	h := p.holders[len(p.holders)-1]
	h.cut = false
	for _, old := range p.holders[:len(p.holders)-1] {
		old.over = true
	}
	for i, id := range p.groups {
		if _, err := h.book.Add(id, int64(i/2), samples); err != nil {
			// A group of a step that has long gone is refused, and the trainer knows.
			continue
		}
	}
	for range len(p.groups)*samples + 2 {
		p.pull(h, false)
	}
	for _, id := range p.owed(h) {
		p.t.Fatalf("%s is owed and not delivered", id)
	}
	for _, g := range p.groups {
		for i := range samples {
			if id := sample.SlotID(g, i); h.book.Groups[g] != nil && !p.taken[id] {
				p.t.Fatalf("%s was never delivered", id)
			}
		}
	}
}

// A trainer comes back with the cursor of an older checkpoint. It must be told:
// to go on from there would deliver again what it already has.
func TestOldCursor(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New("s")
	l.Adopt(1)
	_, err := l.Add("g", 1, 3)
	g.Expect(err).NotTo(HaveOccurred())
	l.Make([]string{"g/0"})
	first := l.Cursor()
	g.Expect(l.Settle(first)).To(Succeed())
	l.Make([]string{"g/1"})
	g.Expect(l.Settle(l.Cursor())).To(Succeed())
	var old *ledger.OldCursorError
	g.Expect(errors.As(l.Settle(first), &old)).To(BeTrue())
	g.Expect(old.Last).To(Equal(int64(2)))
}

// A holder that was paused meets a trainer that has met its successor.
func TestOvertaken(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New("s")
	l.Adopt(3)
	var over *ledger.OvertakenError
	g.Expect(errors.As(l.Settle(cursor.Cursor{Subscription: "s", Fence: 4, Offer: 1}), &over)).To(BeTrue())
}

// A cursor arrives while the ledger is on its way to the key-value service. What
// it acknowledged is not in the stored form, so the next cursor must still name
// it; otherwise a successor that reads the stored form would deliver it again.
func TestRecordedLate(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New("s")
	l.Adopt(1)
	_, err := l.Add("g", 1, 3)
	g.Expect(err).NotTo(HaveOccurred())
	l.Make([]string{"g/0"})
	c := l.Cursor()
	_, mark, err := l.Store("op")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Settle(c)).To(Succeed())
	l.Recorded(mark)
	l.Make([]string{"g/1"})
	g.Expect(l.Cursor().Taken).To(ConsistOf("g/0", "g/1"))
}
