package matrix

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/dial"
	"github.com/lavendermux/lavendermux/jobs"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/lease"
	"github.com/lavendermux/lavendermux/sims/simeng"
	"github.com/lavendermux/lavendermux/wire"
)

// rejectedAtOnce is how long a rejection may take that needs no answer of the store.
const rejectedAtOnce = 100 * time.Millisecond

// outdatedEntry changes the configuration while the last entry is cut off, takes the metadata
// store down and heals the entry, which therefore still has the configuration before the
// change. It returns the revision of the change.
func (w *world) outdatedEntry(g *WithT) int64 {
	last := len(w.entries) - 1
	w.apply("policy", "fair", map[string]any{"callers": []any{map[string]any{"caller": "a", "weight": 1}}})
	peers := []string{kvIP}
	for i := range last {
		peers = append(peers, entryIP(i))
	}
	for _, peer := range peers {
		w.net.Partition(entryIP(last), peer)
	}
	time.Sleep(20 * time.Second)
	w.addCaller(0, "b", nil)
	time.Sleep(20 * time.Second)
	w.kv.SetDown(true)
	revision, callers := w.policy(0)
	g.Expect(callers).To(HaveLen(2))
	for _, peer := range peers {
		w.net.Heal(entryIP(last), peer)
	}
	return revision
}

// An entry starts while the metadata store is down, and the only entry that lives has an
// old configuration. Until the store is back it rejects everything at once, truthfully and
// with a time to come back; it must not take the old configuration for the one in force.
func TestOnlyPeerIsOutdated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, size{entries: 3, engines: 1})
		defer w.close()
		revision := w.outdatedEntry(g)
		w.kill(w.entries[0])
		w.kill(w.entries[1])
		w.entries[0] = w.startEntry(0)
		for range 60 {
			time.Sleep(time.Second)
			for _, path := range []string{"/readyz", "/v1/resources", "/v1/resources/policy/fair", "/v1/watch?after=0"} {
				status, body := w.do(http.MethodGet, w.url(0)+path, nil, nil)
				g.Expect(status).To(Equal(http.StatusServiceUnavailable), "%s: %s", path, body)
			}
			g.Expect(w.generateRejected(0)).To(BeTrue())
			g.Expect(w.trainerRejected(0)).To(BeTrue())
		}
		w.kv.SetDown(false)
		w.until("the entry is ready again", 18*time.Second, func() bool {
			status, _ := w.do(http.MethodGet, w.url(0)+"/readyz", nil, nil)
			return status == http.StatusOK
		})
		r, callers := w.policy(0)
		g.Expect(r).To(BeNumerically(">=", revision))
		g.Expect(callers).To(HaveLen(2))
		w.entries[1] = w.startEntry(1)
	})
}

// generateRejected reports whether an entry rejects a live request at once, as not run and
// with a Retry-After.
func (w *world) generateRejected(i int) bool {
	return w.rejected(i, "/v1/models/"+model+"/generate", map[string]any{"prompt": "hello", "maxTokens": 2})
}

// trainerRejected reports the same of a trainer's request.
func (w *world) trainerRejected(i int) bool {
	return w.rejected(i, "/v1/subscriptions/"+trainerSubscription+"/pull", map[string]any{"max": 1})
}

func (w *world) rejected(i int, path string, in any) bool {
	began := time.Now()
	status, header, body := w.exchange(http.MethodPost, w.url(i)+path, in, nil)
	ok := status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" && time.Since(began) <= rejectedAtOnce &&
		strings.Contains(string(body), `"notRun"`)
	if !ok {
		w.t.Logf("%s after %s: %d %v %s", path, time.Since(began), status, header, body)
	}
	return ok
}

// All entries are restarted one after the other while the metadata store is down, and one
// of them has an old configuration. Each is ready again within the time in which a change
// comes into force, callers are served by the others all the time, and none goes back.
func TestRollingRestartInAnOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, size{entries: 4, engines: 2})
		defer w.close()
		revision := w.outdatedEntry(g)
		calls, refused := 0, 0
		for i := range w.entries {
			w.restart(w.entries, i, w.startEntry)
			began, ready := time.Now(), time.Duration(0)
			for time.Since(began) < 20*time.Second {
				if status, _ := w.do(http.MethodGet, w.url(i)+"/readyz", nil, nil); status == http.StatusOK && ready == 0 {
					ready = time.Since(began)
				}
				if r, _ := w.policy(i); r != 0 {
					g.Expect(r).To(BeNumerically(">=", revision), "entry %d", i)
				}
				for k := range w.entries {
					calls++
					if status, _ := w.generate(k, "hello", 2); status != http.StatusOK {
						refused++
						g.Expect(k).To(Equal(i), "only the entry that starts refuses: %d", status)
					}
				}
				time.Sleep(250 * time.Millisecond)
			}
			t.Logf("entry %d ready %s after its start", i, ready)
			g.Expect(ready).To(BeNumerically(">", 0), "entry %d", i)
		}
		t.Logf("%d of %d calls refused", refused, calls)
	})
}

// A sidecar restarts while the metadata store is down and has forgotten the fencing number.
// The entries that it asks include the holder that was overtaken while it was cut off. If it
// believed that one, an engine that ignores fencing numbers would obey both holders.
func TestOldFenceAfterRestartInAnOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, size{entries: 4, engines: 1, engine: []simeng.Option{simeng.WithoutFence()}})
		defer w.close()
		overtaken := w.jobHolder()
		old := w.record(lease.KeyPrefix + jobs.Pool(pool)).Created
		peers := []string{kvIP, sideIP(0)}
		for _, p := range w.entries {
			if p != overtaken {
				peers = append(peers, p.ip)
			}
		}
		for _, peer := range peers {
			w.net.Partition(overtaken.ip, peer)
		}
		store := keyval.New("http://"+kvIP+":80", keyval.WithHTTP(w.client))
		w.until("another entry holds the job", time.Minute, func() bool {
			rec, err := store.Get(t.Context(), lease.KeyPrefix+jobs.Pool(pool))
			return err == nil && rec.Created > old
		})
		time.Sleep(20 * time.Second)
		w.kv.SetDown(true)
		for _, peer := range peers {
			w.net.Heal(overtaken.ip, peer)
		}
		doors := dial.New(w.netOf(clientIP).PeerClient())
		defer doors.Close()
		w.restart(w.sides, 0, w.startSide)
		for n := range 300 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			resp, err := doors.Door(sideIP(0)+":80").Order(ctx, connect.NewRequest(&wire.OrderRequest{
				OrderId: fmt.Sprintf("old-%d", n), Pool: pool, Fence: old, Kind: wire.OrderKind_ORDER_KIND_SWITCH, Model: model,
				Version: "1", TimeoutMs: 1000,
			}))
			cancel()
			g.Expect(err != nil || !resp.Msg.GetDone()).To(BeTrue(), "order %d of the overtaken holder", n)
			time.Sleep(50 * time.Millisecond)
		}
		g.Expect(strings.Count(w.log.String(), "fencing number learnt")).To(Equal(2), "at the first start and after the restart")
	})
}
