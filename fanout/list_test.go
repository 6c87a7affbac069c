package fanout

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/mesh"
)

// listedStore counts its lists, each of which takes 4 ms and fails while fails is set.
type listedStore struct {
	cutStore
	lists int
	fails bool
}

func (s *listedStore) List(context.Context, string) ([]kvst.Item, int64, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.fails {
		return nil, 0, &kvst.RefusedError{Status: http.StatusServiceUnavailable}
	}
	return []kvst.Item{{Key: prefix + "a", Revision: s.revision}}, s.revision, nil
}

// All instances that read through a reader start and list at once. The calls to the store must
// not grow with their number, and what it holds must not be used for long.
func TestListsAreJoined(t *testing.T) {
	for _, followers := range []int{50, 400, 800} {
		synctest.Test(t, func(t *testing.T) {
			g, store := NewWithT(t), &listedStore{cutStore: cutStore{revision: 5}}
			d := New(mesh.New(mesh.Node{Name: "reader", Plans: true}, &http.Client{}, logs.New(io.Discard)), store)
			listAll := func() {
				var wg sync.WaitGroup
				for range followers {
					wg.Go(func() {
						items, revision, err := d.listOnce(t.Context(), prefix, maxListHops)
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(items).To(HaveLen(1))
						g.Expect(revision).To(Equal(store.revision))
					})
				}
				wg.Wait()
			}
			listAll()
			g.Expect(store.lists).To(Equal(1), "%d followers", followers)
			time.Sleep(listTTL)
			store.revision = 6
			listAll()
			g.Expect(store.lists).To(Equal(2))
		})
	}
}

// The store refuses a list. The refusal must not be handed to those that ask right after it.
func TestFailedListIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := NewWithT(t), &listedStore{fails: true}
		d := New(mesh.New(mesh.Node{Name: "reader", Plans: true}, &http.Client{}, logs.New(io.Discard)), store)
		_, _, err := d.listOnce(t.Context(), prefix, maxListHops)
		g.Expect(err).To(HaveOccurred())
		store.mu.Lock()
		store.fails = false
		store.mu.Unlock()
		_, _, err = d.listOnce(t.Context(), prefix, maxListHops)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// The upstream of an instance takes that instance for its own upstream, as both know different
// peers. The list must reach the store all the same.
func TestListInACircle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := NewWithT(t), &listedStore{cutStore: cutStore{revision: 5}}
		m := mesh.New(mesh.Node{Name: "entry"}, &http.Client{Transport: circle{}}, logs.New(io.Discard))
		mux := http.NewServeMux()
		m.Mount(mux)
		for i := range 3 {
			probe := fmt.Sprintf(`{"node":{"name":"entry-%d","addr":"10.0.0.%d:1","boot":"b","incarnation":1,"plans":true},"version":1,"status":{"reaches":true}}`, i, i)
			r := httptest.NewRequest(http.MethodPost, "/lavendermux.Mesh/Touch", strings.NewReader(probe))
			r.Header.Set("Content-Type", "application/json")
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			g.Expect(w.Code).To(Equal(http.StatusOK))
		}
		d := New(m, store)
		g.Expect(d.sources()).To(HaveLen(3))
		items, _, err := d.listOnce(t.Context(), prefix, maxListHops)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(items).To(HaveLen(1))
	})
}

// circle is a network in which no call is answered before its caller gives up.
type circle struct{}

func (circle) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// announcedStore has n announced entries.
type announcedStore struct {
	kvst.Store
	n int
}

func (announcedStore) Commit(context.Context, kvst.Txn) (int64, error) { return 1, nil }

func (s announcedStore) List(context.Context, string) (items []kvst.Item, revision int64, err error) {
	for i := range s.n {
		name := fmt.Sprintf("entry-%04d", i)
		value := fmt.Appendf(nil, `{"name":%q,"addr":"10.0.%d.%d:1","boot":"b","plans":true,"power":0.1}`, name, i/200, i%200)
		items = append(items, kvst.Item{Key: "lavendermux/nodes/" + name, Value: value, Revision: 1})
	}
	return items, 1, nil
}

// A small machine starts with its whole fleet and waits for one of its sources, at which it looks
// hundreds of times. It must find out once which they are: done at each look, that takes more than
// the whole processor of such a machine in a fleet of 400, and all are ready later.
func TestWaitFindsSourcesOnce(t *testing.T) {
	// maxSearches leaves as much again as one search for the looks, and for what runs beside.
	const maxSearches = 3
	for _, n := range []int{400, 800} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(time.Minute)
			defer cancel()
			m := mesh.New(mesh.Node{Name: "entry-9999", Addr: "10.9.9.9:1", Plans: true, Power: 0.1}, &http.Client{Transport: circle{}}, logs.New(io.Discard))
			go m.Run(ctx, announcedStore{n: n})
			synctest.Wait()
			d := New(m, &listedStore{})
			search := allocated(func() { d.announcedSources() })
			start := time.Now()
			wait := allocated(func() { d.WaitSources(ctx) })
			g := NewWithT(t)
			g.Expect(time.Since(start)).To(Equal(maxSourceWait))
			g.Expect(wait).To(BeNumerically("<", maxSearches*search), "%d announced entries", n)
		})
	}
}

// allocated returns the bytes that are allocated while f runs.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
