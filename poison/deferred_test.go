package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/reqfp"
)

// crashUnderDeferred sends deferred work and requests to an incarnation that then crashes.
func crashUnderDeferred(table *Table, incarnation string, now time.Time, deferred []reqfp.Fingerprint, requests ...reqfp.Fingerprint) {
	for _, fp := range deferred {
		table.BeginDeferred(fp, incarnation)
	}
	for _, fp := range requests {
		if table.Begin(fp, incarnation, now) != nil {
			continue
		}
		table.ReportDisconnect(fp, incarnation, now)
		defer table.End(fp, incarnation)
	}
	for _, fp := range deferred {
		table.ReportDeferredDisconnect(fp, incarnation, now)
		table.EndDeferred(fp, incarnation)
	}
	table.ReportExit(incarnation, now)
}

// Guards against work that is owed and never runs again: endpoints crash under it any number of
// times, and it gets no strikes.
func TestDeferredWorkGetsNoStrikes(t *testing.T) {
	g := NewWithT(t)
	table, now := New(), time.Unix(1000, 0)
	item := reqfp.Of("", "h", "/a", nil)
	for n := range 10 {
		crashUnderDeferred(table, fmt.Sprint("e", n), now, []reqfp.Fingerprint{item})
	}
	g.Expect(table.Records(now)).To(BeEmpty())
	g.Expect(table.inFlight).To(BeEmpty())
}

// Guards against a request that is refused for crashes of deferred work with the same bytes. Its
// own three crashes still quarantine it, with the same work in flight or not.
func TestRequestEqualToDeferredWork(t *testing.T) {
	g := NewWithT(t)
	table, now := New(), time.Unix(1000, 0)
	fp := reqfp.Of("", "h", "/a", nil)
	for n := range 10 {
		crashUnderDeferred(table, fmt.Sprint("e", n), now, []reqfp.Fingerprint{fp})
	}
	table.BeginDeferred(fp, "e10")
	for n := range StrikeLimit {
		g.Expect(table.Check(fp, now)).To(Succeed())
		crashUnderDeferred(table, fmt.Sprint("own", n), now, []reqfp.Fingerprint{fp}, fp)
	}
	g.Expect(table.Check(fp, now)).NotTo(Succeed())
	g.Expect(table.ReportAnswer(fp, now)).To(Equal(StrikeLimit), "an answer to the work clears the request")
	g.Expect(table.Check(fp, now)).To(Succeed())
}

// Guards against an honest request that is refused sooner since deferred work gets no strikes: it was
// answered a moment ago, and three endpoints crash under it beside work without an answer.
func TestAnsweredRequestBesideDeferredWork(t *testing.T) {
	g := NewWithT(t)
	table, now := New(), time.Unix(1000, 0)
	request := reqfp.Of("", "h", "/request", nil)
	table.ReportAnswer(request, now)
	for n := range 2 * StrikeLimit {
		item := reqfp.Of("", "h", fmt.Sprint("/item/", n), nil)
		crashUnderDeferred(table, fmt.Sprint("e", n), now, []reqfp.Fingerprint{item}, request)
	}
	g.Expect(table.Strikes(request)).To(BeZero())
	for n := range StrikeLimit { // nothing else explains these
		crashUnderDeferred(table, fmt.Sprint("alone", n), now, nil, request)
	}
	g.Expect(table.Check(request, now)).NotTo(Succeed())
}

// Guards against a request that waits for deferred work: one with two strikes runs beside any.
func TestSuspectRunsBesideDeferredWork(t *testing.T) {
	g := NewWithT(t)
	table, now := New(), time.Unix(1000, 0)
	request, item := reqfp.Of("", "h", "/request", nil), reqfp.Of("", "h", "/item", nil)
	for n := range isolationStrikes {
		crashUnderDeferred(table, fmt.Sprint("e", n), now, []reqfp.Fingerprint{item}, request, item)
	}
	g.Expect(table.Strikes(item)).To(Equal(isolationStrikes), "as a request of its own")
	table.BeginDeferred(item, "next")
	g.Expect(table.Begin(request, "next", now)).To(Succeed())
}

// Guards against a request that crashes endpoints and is never quarantined since deferred work runs
// at all of them.
func TestPoisonBesideDeferredWork(t *testing.T) {
	g := NewWithT(t)
	table, now := New(), time.Unix(1000, 0)
	poisonous := reqfp.Of("", "h", "/poison", nil)
	item := reqfp.Of("", "h", "/item", nil)
	for n := range StrikeLimit {
		g.Expect(table.Check(poisonous, now)).To(Succeed())
		crashUnderDeferred(table, fmt.Sprint("e", n), now, []reqfp.Fingerprint{item}, poisonous)
	}
	g.Expect(table.Check(poisonous, now)).NotTo(Succeed())
}
