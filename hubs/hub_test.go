package hubs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/sims/simkv"
)

const (
	// inForceLimit is the time limit for a change to be in force everywhere.
	inForceLimit = 18 * time.Second
	// settleTime is how long a fleet that starts at once needs to settle.
	settleTime   = 40 * time.Second
	outageLength = 10 * time.Minute
)

// run starts a fleet of data centres with 4 entries and 5 workers each, waits until it
// has settled, and runs a test on it.
func run(t *testing.T, dataCentres int, test func(t *testing.T, g *WithT, w *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet()
		defer w.stopAll()
		w.write(t, "a", 1)
		w.addDataCentres(dataCentres, 4, 5)
		time.Sleep(settleTime)
		synctest.Wait()
		test(t, NewWithT(t), w)
	})
}

// sampleAll calls look for each instance every 100 ms for d.
func (w *testFleet) sampleAll(d time.Duration, look func(n *node)) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		synctest.Wait()
		for _, n := range w.snapshot() {
			look(n)
		}
	}
}

func (w *testFleet) expectEndpoints(g *WithT, endpoints int) {
	for _, n := range w.snapshot() {
		if n.hub != nil {
			g.Expect(len(n.view.Endpoints("filing-lm"))).To(Equal(endpoints), n.id)
		}
	}
}

func TestFleetFindsItsHubs(t *testing.T) {
	run(t, 3, func(t *testing.T, g *WithT, w *testFleet) {
		for _, d := range []string{"dc-0", "dc-1", "dc-2"} {
			g.Expect(w.hubs(d)).To(HaveLen(2))
		}
		w.expectEndpoints(g, 15)
		for _, n := range w.snapshot() {
			g.Expect(n.client.Ready()).To(BeTrue())
		}
		took, err := w.waitInForce(w.write(t, "a", 2), inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(took).To(BeNumerically("<", 5*time.Second))
	})
}

// Both hubs of a data centre fail at once, just as an operator changes a pool. Callers
// must not find a pool without endpoints meanwhile, and the change must still be in
// force in time.
func TestBothHubsDie(t *testing.T) {
	run(t, 2, func(t *testing.T, g *WithT, w *testFleet) {
		for _, id := range w.hubs("dc-0") {
			w.kill(id)
		}
		_, err := w.waitInForce(w.write(t, "a", 2), inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
		w.sampleAll(time.Minute, func(n *node) {
			if n.hub != nil {
				g.Expect(len(n.view.Endpoints("filing-lm"))).To(Equal(10), n.id)
			}
		})
		g.Expect(w.hubs("dc-0")).To(HaveLen(2))
	})
}

// All entries of a data centre fail while its endpoints keep running. Callers in other
// data centres must still find the endpoints, and these must receive configuration
// changes.
func TestAllEntriesOfADataCentreDie(t *testing.T) {
	run(t, 2, func(t *testing.T, g *WithT, w *testFleet) {
		for i := range 4 {
			w.kill(fmt.Sprintf("entry-0-%d", i))
		}
		w.sampleAll(2*time.Minute, func(n *node) {
			if n.hub != nil {
				g.Expect(len(n.view.Endpoints("filing-lm"))).To(Equal(10), n.id)
			}
		})
		_, err := w.waitInForce(w.write(t, "a", 2), inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Both hubs of a data centre are stopped as planned. While they still serve, two others
// must start acting as hub, so that nothing changes for callers when they end.
func TestHubsLeave(t *testing.T) {
	run(t, 2, func(_ *testing.T, g *WithT, w *testFleet) {
		old := w.hubs("dc-0")
		for _, id := range old {
			n := w.snapshot()[id]
			n.mu.Lock()
			n.leaving = true
			n.mu.Unlock()
			n.client.Wake()
		}
		time.Sleep(12 * time.Second)
		synctest.Wait()
		g.Expect(len(w.hubs("dc-0"))).To(BeNumerically(">=", 4))
		for _, id := range old {
			w.kill(id)
		}
		w.sampleAll(40*time.Second, func(n *node) {
			if n.hub != nil {
				g.Expect(len(n.view.Endpoints("filing-lm"))).To(Equal(10), n.id)
			}
		})
	})
}

// The metadata store is down for ten minutes. Instances that start meanwhile must
// serve with the configuration that their peers have; otherwise the load balancer finds
// fewer and fewer ready entries as the outage goes on.
func TestInstanceStartsInAnOutage(t *testing.T) {
	run(t, 2, func(t *testing.T, g *WithT, w *testFleet) {
		held := w.write(t, "a", 2)
		_, err := w.waitInForce(held, inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
		w.kv.SetDown(true)
		time.Sleep(outageLength)
		w.add("entry-new", insts.RoleEntry, place{"dc-0", "region-0"})
		w.add("worker-new", insts.RoleEndpoint, place{"dc-1", "region-0"})
		// Until they reach a hub they have no configuration to serve with.
		w.setCut(func(from, to string) bool { return from == "entry-new" || to == "entry-new" || from == "worker-new" })
		entry, worker := w.start("entry-new", 99), w.start("worker-new", 98)
		time.Sleep(inForceLimit)
		synctest.Wait()
		g.Expect(entry.client.Ready()).To(BeFalse())
		g.Expect(worker.client.Ready()).To(BeFalse())
		w.setCut(func(string, string) bool { return false })
		time.Sleep(inForceLimit)
		synctest.Wait()
		for _, n := range []*node{entry, worker} {
			g.Expect(n.client.Ready()).To(BeTrue())
			g.Expect(n.cache.Revision()).To(BeNumerically(">=", held))
		}
		w.kv.SetDown(false)
		_, err = w.waitInForce(w.write(t, "a", 3), inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// All instances restart while the metadata store is down, so that none has a
// configuration. None may serve with an empty one; all must be ready soon after the
// store is back.
func TestAllRestartInAnOutage(t *testing.T) {
	run(t, 2, func(_ *testing.T, g *WithT, w *testFleet) {
		w.kv.SetDown(true)
		seed := uint64(1000)
		all := w.snapshot()
		w.stopAll()
		for id := range all {
			w.start(id, seed)
			seed++
		}
		w.sampleAll(time.Minute, func(n *node) {
			g.Expect(n.client.Ready()).To(BeFalse(), n.id)
		})
		w.kv.SetDown(false)
		time.Sleep(inForceLimit)
		synctest.Wait()
		for _, n := range w.snapshot() {
			g.Expect(n.client.Ready()).To(BeTrue(), n.id)
		}
	})
}

// A data centre is cut off from all others and from the metadata store while an
// operator creates a pool and deletes it again, and deletes an old one. When it
// reconnects with its old configuration, the pools must stay deleted everywhere, also
// at instances that start at that moment and fetch from it.
func TestPeerThatWasCutOffBringsNothingBack(t *testing.T) {
	run(t, 3, func(t *testing.T, g *WithT, w *testFleet) {
		old := w.write(t, "short", 1)
		_, err := w.waitInForce(old, inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
		w.setCut(func(from, to string) bool {
			return to == kvHost && from != "operator" && inDataCentre(from, 2) || inDataCentre(from, 2) != inDataCentre(to, 2)
		})
		w.remove(t, "short")
		last := w.write(t, "a", 2)
		time.Sleep(2 * time.Minute)
		w.setCut(func(string, string) bool { return false })
		w.add("entry-new", insts.RoleEntry, place{"dc-2", "region-0"})
		w.start("entry-new", 77)
		greatest := map[string]int64{}
		w.sampleAll(time.Minute, func(n *node) {
			g.Expect(n.cache.Revision()).To(BeNumerically(">=", greatest[n.id]), n.id)
			greatest[n.id] = n.cache.Revision()
			if n.cache.Revision() >= last {
				_, ok := n.cache.Pool("short")
				g.Expect(ok).To(BeFalse(), n.id)
			}
		})
		_, err = w.waitInForce(last, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// The metadata store compacts its change history while no hub reads it, including a
// deletion. A hub that only continued to watch would serve the deleted pool forever.
func TestDeletionInAWatchGap(t *testing.T) {
	run(t, 2, func(t *testing.T, g *WithT, w *testFleet) {
		_, err := w.waitInForce(w.write(t, "short", 1), inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
		w.setCut(func(from, to string) bool { return to == kvHost && from != "operator" })
		time.Sleep(time.Minute)
		w.remove(t, "short")
		w.kv.Compact()
		w.setCut(func(string, string) bool { return false })
		time.Sleep(inForceLimit)
		synctest.Wait()
		for _, n := range w.snapshot() {
			_, ok := n.cache.Pool("short")
			g.Expect(ok).To(BeFalse(), n.id)
		}
	})
}

// Guards against a change that is late as the watches of all hubs have lost their responses: the
// connections went silent, and each hub waits for the end of its watch.
func TestAllWatchesAreLost(t *testing.T) {
	for _, dataCentres := range []int{1, 3} {
		run(t, dataCentres, func(t *testing.T, g *WithT, w *testFleet) {
			for n := range 20 {
				w.silenceStore()
				_, err := w.waitInForce(w.write(t, "a", n+2), inForceLimit)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Duration(n) * time.Second)
			}
		})
	}
}

// The metadata store is restored from an old backup. Its responses are older than
// what is in force, and applying them would undo accepted changes.
func TestServiceThatWasSetBack(t *testing.T) {
	run(t, 2, func(t *testing.T, g *WithT, w *testFleet) {
		for n := range 20 {
			w.write(t, "a", n+2)
		}
		last := w.write(t, "a", 50)
		_, err := w.waitInForce(last, inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
		w.mu.Lock()
		w.hosts[kvHost] = simkv.New()
		w.mu.Unlock()
		w.write(t, "a", 1)
		w.sampleAll(2*time.Minute, func(n *node) {
			p, ok := n.cache.Pool("a")
			g.Expect(ok).To(BeTrue())
			g.Expect(p.MaxOutputTokens).To(Equal(50), n.id)
		})
	})
}

// An endpoint drains before its instance ends. Entries that don't learn of it keep
// selecting its sidecar and waste an attempt on each request.
func TestDrainingIsKnownWithinSeconds(t *testing.T) {
	run(t, 2, func(_ *testing.T, g *WithT, w *testFleet) {
		leaving := w.snapshot()["worker-0-1"]
		leaving.mu.Lock()
		leaving.draining = true
		leaving.mu.Unlock()
		leaving.client.Wake()
		time.Sleep(7 * time.Second)
		synctest.Wait()
		for _, n := range w.snapshot() {
			if n.hub != nil && n.place.dataCentre == "dc-0" {
				g.Expect(n.view.Endpoint("worker-0-1").GetDraining()).To(BeTrue(), n.id)
			}
		}
		time.Sleep(4 * time.Second)
		synctest.Wait()
		for _, n := range w.snapshot() {
			if n.hub != nil {
				g.Expect(n.view.Endpoint("worker-0-1").GetDraining()).To(BeTrue(), n.id)
			}
		}
		w.kill("worker-0-1")
		time.Sleep(40 * time.Second)
		synctest.Wait()
		w.expectEndpoints(g, 9)
	})
}

// Two regions are partitioned for five minutes. Each must continue with its own
// endpoints, drop the other's, and find them again; only one of them reaches the
// metadata store, and the other continues with the configuration it has.
func TestRegionsLoseEachOther(t *testing.T) {
	run(t, 5, func(t *testing.T, g *WithT, w *testFleet) {
		w.expectEndpoints(g, 25)
		held := w.snapshot()["entry-4-0"].cache.Revision()
		w.setCut(func(from, to string) bool {
			far := inDataCentre(from, 4)
			return far && to == kvHost || to != kvHost && from != "operator" && far != inDataCentre(to, 4)
		})
		last := w.write(t, "a", 2)
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		for _, n := range w.snapshot() {
			far := n.place.region == "region-1"
			switch {
			case far:
				g.Expect(n.cache.Revision()).To(Equal(held))
				g.Expect(n.client.Ready()).To(BeTrue())
			default:
				g.Expect(n.cache.Revision()).To(BeNumerically(">=", last))
			}
			if n.hub != nil {
				g.Expect(len(n.view.Endpoints(""))).To(Equal(map[bool]int{true: 5, false: 20}[far]), n.id)
			}
		}
		w.setCut(func(string, string) bool { return false })
		_, err := w.waitInForce(last, inForceLimit)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(settleTime)
		synctest.Wait()
		w.expectEndpoints(g, 25)
	})
}

// A hub is cut off from its whole data centre, yet reaches the endpoints' callers. If
// it took all members for dead, its own callers would find no endpoint.
func TestHubThatIsCutOffKeepsItsEndpoints(t *testing.T) {
	run(t, 2, func(_ *testing.T, g *WithT, w *testFleet) {
		lone := w.hubs("dc-0")[0]
		w.setCut(func(from, to string) bool { return from == lone || to == lone })
		w.sampleAll(30*time.Second, func(n *node) {
			if n.id != lone {
				return
			}
			for i := range 5 {
				g.Expect(n.view.Endpoint(fmt.Sprintf("worker-0-%d", i)) == nil).To(BeFalse())
			}
		})
	})
}

// An operator asks where a change is in force while one data centre lags. The digests
// must count every instance once, and name those that lag.
func TestDigestsCountInstancesByRevision(t *testing.T) {
	run(t, 2, func(t *testing.T, g *WithT, w *testFleet) {
		w.setCut(func(from, to string) bool { return to == "entry-1-0" || from == "entry-1-0" })
		last := w.write(t, "a", 2)
		time.Sleep(settleTime)
		synctest.Wait()
		report := w.snapshot()["entry-0-2"].client.InForce(last)
		g.Expect(report.Instances).To(Equal(17))
		g.Expect(report.Total).To(Equal(17))
		w.setCut(func(_, to string) bool { return to == kvHost })
		time.Sleep(settleTime)
		later := w.snapshot()["entry-0-2"].client.InForce(last + 1)
		g.Expect(later.Instances).To(BeZero())
		g.Expect(later.Total).To(Equal(18))
		g.Expect(later.Lagging).NotTo(BeEmpty())
		g.Expect(later.Complete()).To(BeFalse())
	})
}
