package brun

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/upstr"
)

// limitedStore is a metadata store that refuses values and transactions over its limits.
type limitedStore struct {
	kvst.Store
	maxValue, maxEntries int

	mu       sync.Mutex
	items    map[string][]byte
	revision int64
	// refused counts the writes that were refused; largest is the size of the values of the largest
	// one.
	refused, largest int
}

// Commit implements kvst.Store.
func (s *limitedStore) Commit(_ context.Context, t kvst.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, isTooLarge := 0, len(t.Puts)+len(t.Remove)+len(t.Expect) > s.maxEntries
	for _, p := range t.Puts {
		size += len(p.Value)
		isTooLarge = isTooLarge || len(p.Value) > s.maxValue
	}
	s.largest = max(s.largest, size)
	if isTooLarge {
		s.refused++
		return 0, &kvst.RefusedError{Status: http.StatusBadRequest}
	}
	for _, p := range t.Puts {
		s.items[p.Key] = p.Value
	}
	s.revision++
	return s.revision, nil
}

// Get implements kvst.Store.
func (s *limitedStore) Get(_ context.Context, key string) (kvst.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.items[key]
	if !ok {
		return kvst.Item{}, &kvst.RefusedError{Status: http.StatusServiceUnavailable}
	}
	return kvst.Item{Key: key, Value: value, Revision: s.revision}, nil
}

// List implements kvst.Store.
func (s *limitedStore) List(_ context.Context, prefix string) (out []kvst.Item, revision int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kvst.Item{Key: key, Value: s.items[key], Revision: s.revision})
		}
	}
	return out, s.revision, nil
}

// head returns the stored head of a batch.
func (s *limitedStore) head(g *WithT, id string) bstore.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := bstore.Record{ID: id, Revision: s.revision, AcceptedAt: time.Now()}
	g.Expect(json.Unmarshal(s.items[bstore.HeadPrefix+id], &rec.Head)).To(Succeed())
	return rec
}

// longTexts are engines with texts of several values of the store.
type longTexts struct{ items map[string]string }

// Send implements upstr.Sender.
func (e longTexts) Send(ctx context.Context, c upstr.Call) (*upstr.Response, error) {
	return answer(ctx, c, strings.Split(e.items[c.ID], "\n")), nil
}

// Guards against a result or a partial text that the store refuses, as it is larger than a value may
// be, or as there are too many: nothing of the submission was stored behind it, its end included.
func TestWritesOverTheStoresLimits(t *testing.T) {
	const maxValue, maxEntries = 8 << 10, 32
	for name, c := range map[string]struct {
		items, events, eventBytes int
		char                      string
	}{
		"one long text":            {1, 60, 10 << 10, "x"},
		"one long event":           {1, 1, 100 << 10, "x"},
		"many items":               {400, 2, 3 << 10, "x"},
		"long and short":           {40, 10, 10 << 10, "x"},
		"text that JSON lengthens": {3, 10, 10 << 10, "\x01"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := &limitedStore{maxValue: maxValue, maxEntries: maxEntries, items: make(map[string][]byte)}
				sub, texts := drawnBatch(c.items), make(map[string]string)
				for _, it := range sub.Items {
					line := it.ID + strings.Repeat(c.char, c.eventBytes)
					texts[it.ID] = strings.TrimSuffix(strings.Repeat(line+"\n", c.events), "\n")
				}
				newOwner := func() *Runner {
					r, _ := newDrawnRunner(&drawnEngines{})
					r.sender = longTexts{items: texts}
					r.store = bstore.New(store, bstore.WithMaxValueBytes(maxValue))
					return r
				}
				r := newOwner()
				ctx, cancel := context.WithCancel(t.Context())
				go r.Run(ctx)
				r.Add(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "me", Epoch: 1}, AcceptedAt: time.Now(), ConfirmedAt: time.Now()}, sub, nil, nil)
				time.Sleep(300 * time.Millisecond)
				r.Stop(ctx)
				r.Drop("b", "taken over")
				cancel()
				synctest.Wait()
				g.Expect(store.refused).To(BeZero())
				head := store.head(g, "b")
				results, err := r.store.Results(t.Context(), head)
				g.Expect(err).NotTo(HaveOccurred())
				progress, err := r.store.Progress(t.Context(), head)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(results) + len(progress)).To(BeNumerically(">", 0))

				r = newOwner()
				ctx, cancel = context.WithCancel(t.Context())
				go r.Run(ctx)
				r.Add(ctx, head, sub, results, progress)
				all := r.readAll(ctx, g, c.items, time.Minute)
				g.Expect(all).To(HaveLen(c.items))
				for _, res := range all {
					g.Expect(res.Text == texts[res.ID]).To(BeTrue(), "%s: %d bytes of %d", res.ID, len(res.Text), len(texts[res.ID]))
				}
				g.Expect(r.End(ctx, "b")).To(Succeed())
				head = store.head(g, "b")
				g.Expect(head.Ended).To(BeTrue())
				stored, err := r.store.Results(t.Context(), head)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(stored).To(HaveLen(c.items))
				g.Expect(store.refused).To(BeZero())
				g.Expect(store.largest).To(BeNumerically("<=", 2*maxWriteBytes))
				cancel()
				synctest.Wait()
			})
		})
	}
}
