package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/reqfp"
)

var (
	start     = time.Unix(1000, 0)
	poisonous = fpOf("deadly")
	benign    = fpOf("honest")
)

func fpOf(s string) reqfp.Fingerprint { return reqfp.Of("", "h", "/p", []byte(s)) }

func incarnation(n int) string { return fmt.Sprintf("b%d/1", n) }

// crashUnder sends requests to an incarnation that then crashes.
func crashUnder(t *Table, incarnation string, now time.Time, fps ...reqfp.Fingerprint) {
	for _, fp := range fps {
		if t.Begin(fp, incarnation, now) == nil {
			defer t.End(fp, incarnation)
		}
	}
	t.ReportDisconnect(fps[0], incarnation, now)
	t.ReportExit(incarnation, now)
	for _, fp := range fps[1:] {
		t.ReportDisconnect(fp, incarnation, now.Add(time.Millisecond))
	}
}

// Guards against a poison request that crashes one endpoint after another: it is
// quarantined after the third, for twice as long after each further one, and stays on watch
// in between.
func TestHeldBackLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	table := New()
	now := start
	for n := range StrikeLimit {
		g.Expect(table.Check(poisonous, now)).To(Succeed())
		crashUnder(table, incarnation(n), now, poisonous)
	}
	for n := range 4 {
		var quarantined *QuarantineError
		g.Expect(errors.As(table.Check(poisonous, now), &quarantined)).To(BeTrue())
		g.Expect(quarantined.RetryAfter).To(Equal(defaultQuarantine << n))
		now = now.Add(quarantined.RetryAfter)
		table.Sweep(now)
		g.Expect(table.Check(poisonous, now)).To(Succeed())
		crashUnder(table, incarnation(StrikeLimit+n), now, poisonous)
	}
	table.Sweep(now.Add(24 * time.Hour))
	g.Expect(table.Records(now)).To(BeEmpty())
	g.Expect(table.Digest()).To(BeZero())
}

// Guards against a reset, a lost answer or a planned shutdown counted as a crash: a broken
// connection to an incarnation that lives, or exited much later, adds no strike.
func TestOnlyEndedBootsCount(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for n := range 10 {
		table.ReportDisconnect(poisonous, incarnation(n), start)
	}
	g.Expect(table.IsSuspect(poisonous)).To(BeFalse())
	table.Sweep(start.Add(disconnectWindow + time.Second))
	for n := range 10 {
		g.Expect(table.ReportExit(incarnation(n), start.Add(disconnectWindow+time.Second))).To(BeEmpty())
	}
	g.Expect(table.ReportExit(incarnation(99), start)).To(BeEmpty(), "no connection broke there")
}

// Guards against benign requests quarantined because they ran beside a poison request: an
// answer clears them, and a recently answered one isn't suspected at all.
func TestBystanders(t *testing.T) {
	g := NewWithT(t)
	table := New()
	popular := fpOf("popular")
	table.ReportAnswer(popular, start)
	for n := range StrikeLimit {
		crashUnder(table, incarnation(n), start, poisonous, popular, benign)
		table.ReportAnswer(benign, start)
	}
	g.Expect(table.Strikes(poisonous)).To(Equal(StrikeLimit))
	g.Expect(table.Strikes(popular)).To(BeZero())
	g.Expect(table.Check(popular, start)).To(Succeed())
	g.Expect(table.Check(benign, start)).To(Succeed())
	g.Expect(table.Strikes(benign)).To(BeZero())
}

// Guards against a request that was harmless and becomes poison, for example with a new
// version of the service: earlier answers don't protect it where nothing else explains the
// crash.
func TestTurnsDeadly(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.ReportAnswer(poisonous, start)
	for n := range StrikeLimit {
		crashUnder(table, incarnation(n), start.Add(time.Second), poisonous)
	}
	g.Expect(table.Check(poisonous, start.Add(time.Second))).NotTo(Succeed())
}

// Guards against many copies of a request that crash as many endpoints at once: a suspect
// runs once at a time.
func TestOneCopyOfASuspect(t *testing.T) {
	g := NewWithT(t)
	table := New()
	crashUnder(table, incarnation(0), start, poisonous)
	g.Expect(table.Begin(poisonous, incarnation(1), start)).To(Succeed())
	var quarantined *QuarantineError
	g.Expect(errors.As(table.Begin(poisonous, incarnation(2), start), &quarantined)).To(BeTrue())
	g.Expect(quarantined.RetryAfter).To(Equal(trialRetryAfter))
	table.End(poisonous, incarnation(1))
	g.Expect(table.Begin(poisonous, incarnation(2), start)).To(Succeed())
}

// Guards against instances that disagree on strikes: tables that received the same records
// agree, in any order and with repetitions, and a crash seen by two instances counts once.
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
				at.Clear(benign)
			default:
				crashUnder(at, incarnation(rnd.IntN(6)), now, []reqfp.Fingerprint{poisonous, benign}[rnd.IntN(2)])
			}
		}
		for range 2 {
			exchange(tables[0], tables[1])
			exchange(tables[1], tables[2])
		}
		exchange(tables[0], tables[1])
		for _, other := range tables[1:] {
			g.Expect(other.Digest()).To(Equal(tables[0].Digest()), "seed %d", seed)
			g.Expect(other.Strikes(poisonous)).To(Equal(tables[0].Strikes(poisonous)), "seed %d", seed)
			g.Expect(other.Check(poisonous, now) == nil).To(Equal(tables[0].Check(poisonous, now) == nil), "seed %d", seed)
		}
		g.Expect(tables[0].Merge(tables[1].Records(now), now)).To(BeEmpty(), "seed %d", seed)
	}
}

// Guards against a cleared strike that returns from an instance that hadn't heard of it
// being cleared.
func TestClearedStaysCleared(t *testing.T) {
	g := NewWithT(t)
	a, b := New(), New()
	for n := range StrikeLimit {
		crashUnder(a, incarnation(n), start, poisonous)
	}
	b.Merge(a.Records(start), start)
	g.Expect(a.Clear(poisonous)).To(Equal(StrikeLimit))
	a.Merge(b.Records(start), start)
	g.Expect(a.Check(poisonous, start)).To(Succeed())
	b.Merge(a.Records(start), start)
	g.Expect(b.Check(poisonous, start)).To(Succeed())
	crashUnder(b, incarnation(9), start, poisonous)
	g.Expect(b.Strikes(poisonous)).To(Equal(1))
}

// Guards against a caller that fills the memory with requests of its own: the table is
// bounded, and keeps the quarantined requests.
func TestBounded(t *testing.T) {
	g := NewWithT(t)
	table := New(WithMaxRequests(20))
	for n := range StrikeLimit {
		crashUnder(table, incarnation(n), start, poisonous)
	}
	for n := range 1000 {
		crashUnder(table, incarnation(100+n), start.Add(time.Second), fpOf(fmt.Sprint(n)))
	}
	g.Expect(table.Records(start)).To(HaveLen(20))
	g.Expect(table.Check(poisonous, start)).NotTo(Succeed())
	for n := range 100 {
		table.strike(poisonous, incarnation(2000+n), start)
	}
	g.Expect(table.Strikes(poisonous)).To(Equal(maxStrikes))
}

// Guards against instances that all retry a request at the same moment.
func TestTurns(t *testing.T) {
	g := NewWithT(t)
	var tables []*Table
	for slot := range 3 {
		tables = append(tables, New(WithRetryTurns(func(reqfp.Fingerprint) (int, int) { return slot, 3 })))
	}
	for n := range StrikeLimit {
		crashUnder(tables[0], incarnation(n), start, poisonous)
	}
	for _, table := range tables[1:] {
		table.Merge(tables[0].Records(start), start)
	}
	for ms := range 12_000 {
		now, allowed := start.Add(defaultQuarantine+time.Duration(ms)*time.Millisecond), 0
		for _, table := range tables {
			var quarantined *QuarantineError
			if !errors.As(table.Check(poisonous, now), &quarantined) {
				allowed++
				continue
			}
			g.Expect(table.Check(poisonous, now.Add(quarantined.RetryAfter))).To(Succeed())
		}
		g.Expect(allowed).To(Equal(1))
	}
}

// Guards against a caller that retries at the pace of the turns, at one instance after
// another, and never meets the instance whose turn it is.
func TestTurnsAtACallersPace(t *testing.T) {
	const instances = 3
	for phase := range instances {
		g := NewWithT(t)
		var tables []*Table
		for slot := range instances {
			tables = append(tables, New(WithRetryTurns(func(reqfp.Fingerprint) (int, int) { return slot, instances })))
		}
		for n := range StrikeLimit {
			crashUnder(tables[0], incarnation(n), start, benign)
		}
		for _, table := range tables[1:] {
			table.Merge(tables[0].Records(start), start)
		}
		served := 0
		for n := range instances * instances {
			now := start.Add(defaultQuarantine + time.Duration(n)*retryTurnTime + time.Millisecond)
			if tables[(n+phase)%instances].Check(benign, now) == nil {
				served++
			}
		}
		g.Expect(served).To(BeNumerically(">", 0), "phase %d", phase)
	}
}

// Guards against benign requests that are refused along with the poison one, since all run
// together at one endpoint after another: with two strikes they run apart.
func TestGraveSuspectsRunApart(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for n := range isolationStrikes {
		crashUnder(table, incarnation(n), start, poisonous, benign)
	}
	g.Expect(table.Begin(poisonous, incarnation(8), start)).To(Succeed())
	g.Expect(table.Begin(benign, incarnation(8), start)).NotTo(Succeed())
	g.Expect(table.Begin(benign, incarnation(9), start)).To(Succeed())
	table.ReportDisconnect(poisonous, incarnation(8), start)
	table.ReportExit(incarnation(8), start)
	table.End(poisonous, incarnation(8))
	g.Expect(table.Check(poisonous, start)).NotTo(Succeed())
	g.Expect(table.Strikes(benign)).To(Equal(isolationStrikes))
}

// Guards against benign requests that stay quarantined because they ran beside a poison one
// each time: all are retried soon, and the first to crash one more endpoint releases the
// others.
func TestNextStrikeTellsThemApart(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for n := range StrikeLimit {
		table.strike(poisonous, incarnation(n), start)
		table.strike(benign, incarnation(n), start)
	}
	for _, fp := range []reqfp.Fingerprint{poisonous, benign} {
		var quarantined *QuarantineError
		g.Expect(errors.As(table.Check(fp, start), &quarantined)).To(BeTrue())
		g.Expect(quarantined.RetryAfter).To(Equal(tieQuarantine))
	}
	over := start.Add(tieQuarantine)
	g.Expect(table.Check(benign, over)).To(Succeed())
	crashUnder(table, incarnation(StrikeLimit), over, poisonous)
	g.Expect(table.Check(benign, over)).To(Succeed())
	g.Expect(table.Check(poisonous, over.Add(defaultQuarantine))).NotTo(Succeed())
}

// Guards against a benign request that collects three strikes at instances that answered
// it: an instance that answered it recently overrides one that saw a crash beside it.
func TestToldOfARequestThatWasAnsweredHere(t *testing.T) {
	g := NewWithT(t)
	saw, answered := New(), New()
	answered.ReportAnswer(benign, start)
	for n := range StrikeLimit {
		crashUnder(saw, incarnation(n), start, benign)
	}
	answered.Merge(saw.Records(start), start)
	g.Expect(answered.Check(benign, start)).To(Succeed())
	saw.Merge(answered.Records(start), start)
	g.Expect(saw.Check(benign, start)).To(Succeed())
}

// Guards against strikes for requests whose connections broke long before the endpoint
// exited.
func TestBrokenOffLongBefore(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.ReportDisconnect(benign, incarnation(0), start)
	table.ReportDisconnect(poisonous, incarnation(0), start.Add(2*crashWindow))
	g.Expect(table.ReportExit(incarnation(0), start.Add(2*crashWindow))).To(Equal([]reqfp.Fingerprint{poisonous}))
}
