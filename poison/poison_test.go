package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/finger"
)

var (
	start  = time.Unix(1000, 0)
	deadly = of("deadly")
	honest = of("honest")
)

func of(s string) finger.Print { return finger.Of("", "h", "/p", []byte(s)) }

func boot(n int) string { return fmt.Sprintf("b%d/1", n) }

// endUnder has requests run at a boot that ends.
func endUnder(t *Table, boot string, now time.Time, prints ...finger.Print) {
	for _, p := range prints {
		if t.Begin(p, boot, now) == nil {
			defer t.End(p, boot)
		}
	}
	t.Broke(prints[0], boot, now)
	t.Ended(boot, now)
	for _, p := range prints[1:] {
		t.Broke(p, boot, now.Add(time.Millisecond))
	}
}

// Guards against a request that takes one endpoint after the other: it is held back after
// the third, for twice as long after each further one, and watched in between.
func TestHeldBackLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	table := New()
	now := start
	for n := range Limit {
		g.Expect(table.Held(deadly, now)).To(Succeed())
		endUnder(table, boot(n), now, deadly)
	}
	for n := range 4 {
		var held *HeldError
		g.Expect(errors.As(table.Held(deadly, now), &held)).To(BeTrue())
		g.Expect(held.RetryAfter).To(Equal(defaultHold << n))
		now = now.Add(held.RetryAfter)
		table.Sweep(now)
		g.Expect(table.Held(deadly, now)).To(Succeed())
		endUnder(table, boot(Limit+n), now, deadly)
	}
	table.Sweep(now.Add(24 * time.Hour))
	g.Expect(table.Records(now)).To(BeEmpty())
	g.Expect(table.Digest()).To(BeZero())
}

// Guards against a reset, a lost answer or a planned leave that passes for a crash: a
// broken connection to a boot that lives, or ended long after, strikes nobody.
func TestOnlyEndedBootsCount(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for n := range 10 {
		table.Broke(deadly, boot(n), start)
	}
	g.Expect(table.IsSuspect(deadly)).To(BeFalse())
	table.Sweep(start.Add(brokenFor + time.Second))
	for n := range 10 {
		g.Expect(table.Ended(boot(n), start.Add(brokenFor+time.Second))).To(BeEmpty())
	}
	g.Expect(table.Ended(boot(99), start)).To(BeEmpty(), "nothing broke there")
}

// Guards against honest callers that are refused since they ran beside a deadly request:
// an answer clears them, and one that was answered a moment ago is no suspect at all.
func TestBystanders(t *testing.T) {
	g := NewWithT(t)
	table := New()
	popular := of("popular")
	table.Answered(popular, start)
	for n := range Limit {
		endUnder(table, boot(n), start, deadly, popular, honest)
		table.Answered(honest, start)
	}
	g.Expect(table.Strikes(deadly)).To(Equal(Limit))
	g.Expect(table.Strikes(popular)).To(BeZero())
	g.Expect(table.Held(popular, start)).To(Succeed())
	g.Expect(table.Held(honest, start)).To(Succeed())
	g.Expect(table.Strikes(honest)).To(BeZero())
}

// Guards against a request that was good and turns deadly, as with a new version of the
// service: its earlier answers don't shield it where nothing else explains the crash.
func TestTurnsDeadly(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Answered(deadly, start)
	for n := range Limit {
		endUnder(table, boot(n), start.Add(time.Second), deadly)
	}
	g.Expect(table.Held(deadly, start.Add(time.Second))).NotTo(Succeed())
}

// Guards against many copies that end as many endpoints in the same moment: of a suspect
// one runs at a time.
func TestOneCopyOfASuspect(t *testing.T) {
	g := NewWithT(t)
	table := New()
	endUnder(table, boot(0), start, deadly)
	g.Expect(table.Begin(deadly, boot(1), start)).To(Succeed())
	var held *HeldError
	g.Expect(errors.As(table.Begin(deadly, boot(2), start), &held)).To(BeTrue())
	g.Expect(held.RetryAfter).To(Equal(trialPause))
	table.End(deadly, boot(1))
	g.Expect(table.Begin(deadly, boot(2), start)).To(Succeed())
}

// Guards against counts that differ between instances: whatever the order and however
// often records come, tables that heard the same agree, and a crash that two saw is one.
func TestMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		rnd := rand.New(rand.NewPCG(seed, 1))
		tables := []*Table{New(), New(), New()}
		now := start
		exchange := func(a, b *Table) {
			sent := a.Records(now)
			a.Merge(b.Records(now), now)
			b.Merge(sent, now)
		}
		for range 40 {
			now = now.Add(time.Duration(rnd.IntN(1000)) * time.Millisecond)
			at := tables[rnd.IntN(3)]
			switch rnd.IntN(4) {
			case 0:
				exchange(tables[0], tables[1+rnd.IntN(2)])
			case 1:
				at.Clear(honest)
			default:
				endUnder(at, boot(rnd.IntN(6)), now, []finger.Print{deadly, honest}[rnd.IntN(2)])
			}
		}
		for range 2 {
			exchange(tables[0], tables[1])
			exchange(tables[1], tables[2])
		}
		exchange(tables[0], tables[1])
		for _, other := range tables[1:] {
			g.Expect(other.Digest()).To(Equal(tables[0].Digest()), "seed %d", seed)
			g.Expect(other.Strikes(deadly)).To(Equal(tables[0].Strikes(deadly)), "seed %d", seed)
			g.Expect(other.Held(deadly, now) == nil).To(Equal(tables[0].Held(deadly, now) == nil), "seed %d", seed)
		}
		g.Expect(tables[0].Merge(tables[1].Records(now), now)).To(BeEmpty(), "seed %d", seed)
	}
}

// Guards against a strike that comes back after it was cleared, by way of an instance that
// hadn't heard.
func TestClearedStaysCleared(t *testing.T) {
	g := NewWithT(t)
	a, b := New(), New()
	for n := range Limit {
		endUnder(a, boot(n), start, deadly)
	}
	b.Merge(a.Records(start), start)
	g.Expect(a.Clear(deadly)).To(Equal(Limit))
	a.Merge(b.Records(start), start)
	g.Expect(a.Held(deadly, start)).To(Succeed())
	b.Merge(a.Records(start), start)
	g.Expect(b.Held(deadly, start)).To(Succeed())
	endUnder(b, boot(9), start, deadly)
	g.Expect(b.Strikes(deadly)).To(Equal(1))
}

// Guards against memory that a caller fills with requests of its own: the table is bounded
// and keeps what is held back.
func TestBounded(t *testing.T) {
	g := NewWithT(t)
	table := New(WithMost(20))
	for n := range Limit {
		endUnder(table, boot(n), start, deadly)
	}
	for n := range 1000 {
		endUnder(table, boot(100+n), start.Add(time.Second), of(fmt.Sprint(n)))
	}
	g.Expect(table.Records(start)).To(HaveLen(20))
	g.Expect(table.Held(deadly, start)).NotTo(Succeed())
	for n := range 100 {
		table.strike(deadly, boot(2000+n), start)
	}
	g.Expect(table.Strikes(deadly)).To(Equal(strikesMost))
}

// Guards against instances that all try a request again in the same moment.
func TestTurns(t *testing.T) {
	g := NewWithT(t)
	var tables []*Table
	for slot := range 3 {
		tables = append(tables, New(WithTurns(func(finger.Print) (int, int) { return slot, 3 })))
	}
	for n := range Limit {
		endUnder(tables[0], boot(n), start, deadly)
	}
	for _, table := range tables[1:] {
		table.Merge(tables[0].Records(start), start)
	}
	for ms := range 12_000 {
		now, allowed := start.Add(defaultHold+time.Duration(ms)*time.Millisecond), 0
		for _, table := range tables {
			var held *HeldError
			if !errors.As(table.Held(deadly, now), &held) {
				allowed++
				continue
			}
			g.Expect(table.Held(deadly, now.Add(held.RetryAfter))).To(Succeed())
		}
		g.Expect(allowed).To(Equal(1))
	}
}

// Guards against a caller that comes back at the pace of the turns, to one instance after
// the other, and never meets the one whose turn it is.
func TestTurnsAtACallersPace(t *testing.T) {
	const of = 3
	for phase := range of {
		g := NewWithT(t)
		var tables []*Table
		for slot := range of {
			tables = append(tables, New(WithTurns(func(finger.Print) (int, int) { return slot, of })))
		}
		for n := range Limit {
			endUnder(tables[0], boot(n), start, honest)
		}
		for _, table := range tables[1:] {
			table.Merge(tables[0].Records(start), start)
		}
		served := 0
		for n := range of * of {
			now := start.Add(defaultHold + time.Duration(n)*turnTime + time.Millisecond)
			if tables[(n+phase)%of].Held(honest, now) == nil {
				served++
			}
		}
		g.Expect(served).To(BeNumerically(">", 0), "phase %d", phase)
	}
}

// Guards against a batch whose honest items are refused with the deadly one, since all run
// together at one engine after the other: with two strikes they are told apart.
func TestGraveSuspectsRunApart(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for n := range alone {
		endUnder(table, boot(n), start, deadly, honest)
	}
	g.Expect(table.Begin(deadly, boot(8), start)).To(Succeed())
	g.Expect(table.Begin(honest, boot(8), start)).NotTo(Succeed())
	g.Expect(table.Begin(honest, boot(9), start)).To(Succeed())
	table.Broke(deadly, boot(8), start)
	table.Ended(boot(8), start)
	table.End(deadly, boot(8))
	g.Expect(table.Held(deadly, start)).NotTo(Succeed())
	g.Expect(table.Strikes(honest)).To(Equal(alone))
}

// Guards against honest requests that stay refused since they ran beside a deadly one each
// time: all are tried again soon, and the first to end one more endpoint clears the others.
func TestNextStrikeTellsThemApart(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for n := range Limit {
		table.strike(deadly, boot(n), start)
		table.strike(honest, boot(n), start)
	}
	for _, p := range []finger.Print{deadly, honest} {
		var held *HeldError
		g.Expect(errors.As(table.Held(p, start), &held)).To(BeTrue())
		g.Expect(held.RetryAfter).To(Equal(tieHold))
	}
	over := start.Add(tieHold)
	g.Expect(table.Held(honest, over)).To(Succeed())
	endUnder(table, boot(Limit), over, deadly)
	g.Expect(table.Held(honest, over)).To(Succeed())
	g.Expect(table.Held(deadly, over.Add(defaultHold))).NotTo(Succeed())
}

// Guards against an honest request that adds up to three crashes at instances that answered
// it: who has just answered a request knows better than whoever saw a crash beside it.
func TestToldOfARequestThatWasAnsweredHere(t *testing.T) {
	g := NewWithT(t)
	saw, answered := New(), New()
	answered.Answered(honest, start)
	for n := range Limit {
		endUnder(saw, boot(n), start, honest)
	}
	answered.Merge(saw.Records(start), start)
	g.Expect(answered.Held(honest, start)).To(Succeed())
	saw.Merge(answered.Records(start), start)
	g.Expect(saw.Held(honest, start)).To(Succeed())
}

// Guards against requests that are struck for an endpoint that broke them off long before
// it ended.
func TestBrokenOffLongBefore(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Broke(honest, boot(0), start)
	table.Broke(deadly, boot(0), start.Add(2*together))
	g.Expect(table.Ended(boot(0), start.Add(2*together))).To(Equal([]finger.Print{deadly}))
}
