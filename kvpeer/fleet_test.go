package kvpeer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/mesh"
)

type (
	// gate is the store as a part of a fleet sees it: it doesn't answer those that are cut
	// off, and counts their calls and those of the others.
	gate struct {
		kvst.Store
		mu             sync.Mutex
		closed         bool
		calls, refused int
	}

	// wayToStore is an instance's direct way to the store.
	wayToStore struct {
		kvst.Store
		gate  *gate
		isCut bool
	}

	// peerNet calls peers without a network, by address, and counts their calls.
	peerNet struct {
		mu    sync.Mutex
		peers map[string]*Store
		asked map[string]int
	}
)

func (w *wayToStore) pass(ctx context.Context) error {
	w.gate.mu.Lock()
	w.gate.calls++
	isCut := w.isCut && w.gate.closed
	if isCut {
		w.gate.refused++
	}
	w.gate.mu.Unlock()
	if !isCut {
		return nil
	}
	select {
	case <-time.After(callTimeout):
	case <-ctx.Done():
	}
	return &kvst.UnknownOutcomeError{Cause: context.DeadlineExceeded}
}

func (w *wayToStore) Get(ctx context.Context, key string) (kvst.Item, error) {
	return kvst.Item{Key: key}, w.pass(ctx)
}

func (w *wayToStore) Commit(ctx context.Context, _ kvst.Txn) (int64, error) { return 1, w.pass(ctx) }

func (n *peerNet) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	n.asked[r.URL.Host]++
	s := n.peers[r.URL.Host]
	n.mu.Unlock()
	_, handler := s.Handler()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// A third of a fleet is cut off from the store for nine seconds, in which each of them has
// something to write. The store must not get more calls in vain the larger the fleet is, nobody
// may be asked by many, no write may wait for the direct way, and all must be back soon.
func TestThirdOfTheFleetIsCutOff(t *testing.T) {
	const (
		outage       = 9 * time.Second
		writeEvery   = 800 * time.Millisecond
		maxPerSecond = 2 * maxProbes * float64(time.Second) / float64(probeInterval)
	)
	for _, n := range []int{51, 402, 804} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			store, net := &gate{closed: true}, &peerNet{peers: make(map[string]*Store), asked: make(map[string]int)}
			var stores []*Store
			nodes := make([]mesh.Node, n)
			reaching := func() (out []mesh.Node) {
				for i, s := range stores {
					if s.DirectAvailable() {
						out = append(out, nodes[i])
					}
				}
				return out
			}
			for i := range n {
				nodes[i] = mesh.Node{Name: fmt.Sprint("entry-", i), Addr: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)}
				s := New(&wayToStore{gate: store, isCut: i%3 == 0}, &http.Client{Transport: net}, logs.New(io.Discard), reaching,
					WithInstance(nodes[i].Name), WithCutOff(func() int { return n - len(reaching()) - 1 }))
				stores = append(stores, s)
				net.peers[nodes[i].Addr] = s
			}
			for i, s := range stores {
				wg.Go(func() { s.Run(ctx) })
				if i%3 == 0 {
					wg.Go(func() { write(ctx, g, s, writeEvery) })
				}
			}
			time.Sleep(2 * time.Second)
			store.mu.Lock()
			store.refused = 0
			store.mu.Unlock()
			time.Sleep(outage - 2*time.Second)
			store.mu.Lock()
			g.Expect(float64(store.refused)/(outage-2*time.Second).Seconds()).To(BeNumerically("<", maxPerSecond), "calls in vain, "+strconv.Itoa(n)+" instances")
			store.closed = false
			store.mu.Unlock()
			time.Sleep(3 * time.Second)
			g.Expect(reaching()).To(HaveLen(n))
			cancel()
			wg.Wait()
			for addr, calls := range net.asked {
				g.Expect(calls).To(BeNumerically("<", 6*int(outage/writeEvery)), addr)
			}
		})
	}
}

// write writes at an interval until ctx ends. Once the cut is known, a write must not take long.
func write(ctx context.Context, g *WithT, s *Store, every time.Duration) {
	began := time.Now()
	for ctx.Err() == nil {
		start := time.Now()
		_, err := s.Commit(ctx, kvst.Txn{})
		if ctx.Err() == nil && start.Sub(began) > 3*time.Second {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<", callTimeout/2))
		}
		time.Sleep(every)
	}
}

// A peer is cut off as well, and makes no calls of its own that would show it. After one call that
// it couldn't serve it must count as cut off, or the others go on to ask it.
func TestIdlePeerThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net, logger := &peerNet{peers: make(map[string]*Store), asked: make(map[string]int)}, logs.New(io.Discard)
		none := func() []mesh.Node { return nil }
		idle := New(&wayToStore{gate: &gate{closed: true}, isCut: true}, &http.Client{}, logger, none)
		peer := mesh.Node{Name: "idle", Addr: "10.0.0.2:1"}
		net.peers[peer.Addr] = idle
		s := New(&wayToStore{gate: &gate{closed: true}, isCut: true}, &http.Client{Transport: net}, logger, func() []mesh.Node { return []mesh.Node{peer} })
		_, err := s.Get(t.Context(), "k")
		g.Expect(err).To(HaveOccurred())
		g.Expect(net.asked).To(HaveKeyWithValue(peer.Addr, 1))
		g.Expect(idle.DirectAvailable()).To(BeFalse())
	})
}
