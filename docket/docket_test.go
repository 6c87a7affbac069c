package docket

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/poison"
)

var request = finger.Of("", "h", "/p", []byte("deadly"))

// memory is a store of its own; down makes each call fail.
type memory struct {
	kvst.Store
	items map[string][]byte
	down  bool
}

func (m *memory) List(context.Context, string) ([]kvst.Item, int64, error) {
	if m.down {
		return nil, 0, &kvst.RefusedError{Status: 503}
	}
	var out []kvst.Item
	for k, v := range m.items {
		out = append(out, kvst.Item{Key: k, Value: v, Revision: 1})
	}
	return out, 1, nil
}

func (m *memory) Commit(_ context.Context, t kvst.Txn) (int64, error) {
	if m.down {
		return 0, &kvst.RefusedError{Status: 503}
	}
	for _, p := range t.Puts {
		m.items[p.Key] = p.Value
	}
	for _, k := range t.Remove {
		delete(m.items, k)
	}
	return 2, nil
}

func newGuard() *guard.Guard {
	return guard.New(log.New(io.Discard), meter.New(), guard.WithoutProbe())
}

func condemn(g *guard.Guard) {
	for n := range poison.Limit {
		e := endpt.Endpoint{ID: "w", Born: int64(n)}
		_ = g.Begin(request, e) // nothing is held back yet
		<-g.Broke("id", request, e, io.EOF)
		g.End(request, e)
	}
}

// Guards against instances that all start at once, also while the store is away and with a
// record that nobody can read, and forget what they held back.
func TestKeptOverStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &memory{items: map[string][]byte{prefix + "broken": []byte("{")}, down: true}
		first, second := newGuard(), newGuard()
		go New(store, first, log.New(io.Discard)).Run(ctx)
		condemn(first)
		time.Sleep(time.Second)
		store.down = false
		time.Sleep(3 * time.Second)
		g.Expect(store.items).To(HaveKey(prefix + request.String()))
		time.Sleep(5 * time.Minute)
		go New(store, second, log.New(io.Discard)).Run(ctx)
		time.Sleep(time.Second)
		g.Expect(second.Held(request)).NotTo(Succeed())
		time.Sleep(5 * time.Minute)
		g.Expect(second.Held(request)).To(Succeed(), "its time counts on")
		cancel()
		synctest.Wait()
	})
}

// Guards against a store that fills with requests that nobody sends any more.
func TestOldRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &memory{items: make(map[string][]byte)}
		first := newGuard()
		go New(store, first, log.New(io.Discard)).Run(ctx)
		condemn(first)
		time.Sleep(keepMost + time.Hour)
		g.Expect(store.items).To(HaveLen(1))
		go New(store, newGuard(), log.New(io.Discard)).Run(ctx)
		time.Sleep(time.Second)
		g.Expect(store.items).To(BeEmpty())
		cancel()
		synctest.Wait()
	})
}
