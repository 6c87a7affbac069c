package spill

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/memnet"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/seal"
	"github.com/lavendermux/lavendermux/walog"
)

type (
	// announcements is the part of the metadata store that instances find each other by.
	announcements struct {
		kvst.Store
		mu    sync.Mutex
		items []kvst.Item
	}

	// machines are a holder and data instances with disks, two of four in each data
	// centre.
	machines struct {
		g      *WithT
		net    *memnet.Network
		store  *announcements
		holder *Spill
		data   []*Spill
		end    context.CancelFunc
	}
)

func (a *announcements) Commit(_ context.Context, t kvst.Txn) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	revision := int64(len(a.items) + 1)
	for _, p := range t.Puts {
		a.items = append(a.items, kvst.Item{Key: p.Key, Value: p.Value, Revision: revision})
	}
	return revision, nil
}

func (a *announcements) List(context.Context, string) ([]kvst.Item, int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]kvst.Item(nil), a.items...), int64(len(a.items)), nil
}

const disks = 4

// withMachines plays f where one disk may be lost.
func withMachines(t *testing.T, f func(m *machines)) {
	t.Helper()
	dirs := make([]*walog.Dir, disks)
	for i := range dirs {
		d, err := walog.Open(t.TempDir())
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		dirs[i] = d
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(context.Background())
		m := &machines{g: NewWithT(t), net: memnet.New(memnet.WithDelay(time.Millisecond)), store: &announcements{}, end: end}
		m.holder = m.start(ctx, mesh.Node{Name: "entry", Addr: "10.0.0.1:1"})
		for i, d := range dirs {
			n := mesh.Node{Name: fmt.Sprint("data-", i), Addr: ip(i) + ":1", DataCentre: fmt.Sprint("dc-", i/2), Disk: d.Disk()}
			m.data = append(m.data, m.start(ctx, n, WithDir(d)))
		}
		time.Sleep(2 * time.Second)
		f(m)
		end()
		m.net.Close()
		time.Sleep(time.Minute)
	})
}

func ip(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }

func (m *machines) start(ctx context.Context, n mesh.Node, opts ...Option) *Spill {
	n.Boot = "first"
	logger := logs.New(io.Discard)
	me := mesh.New(n, &http.Client{Transport: m.net.Transport(n.Addr[:len(n.Addr)-2])}, logger)
	s := New(me, logger, 1, opts...)
	mux := http.NewServeMux()
	me.Mount(mux)
	s.Mount(mux)
	srv, err := m.net.Serve(n.Addr, mux)
	m.g.Expect(err).NotTo(HaveOccurred())
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go me.Run(ctx, m.store)
	return s
}

func results(ids ...string) (out []batch.Result) {
	for _, id := range ids {
		out = append(out, batch.Result{ID: id, State: batch.Completed})
	}
	return out
}

// One disk may be lost, and so may a data centre be out of reach: each submission has two
// copies, in different data centres, and keeps them while they live. When one is gone it
// gets another; when too few are left it gets none, and its results wait for the store.
func TestWhereCopiesAre(t *testing.T) {
	withMachines(t, func(m *machines) {
		used := make(map[string]int)
		for i := range 40 {
			id := fmt.Sprint("b", i)
			c := m.holder.Choose(id, nil)
			m.g.Expect(c).To(HaveLen(2))
			m.g.Expect(c[0].Instance[:5]).To(Equal("data-"))
			m.g.Expect((c[0].Instance < "data-2") == (c[1].Instance < "data-2")).To(BeFalse(), "%v are in one data centre", c)
			m.g.Expect(m.holder.Choose(id, c)).To(Equal(c))
			used[c[0].Instance]++
			used[c[1].Instance]++
		}
		m.g.Expect(used).To(HaveLen(disks))
		c := m.holder.Choose("b0", nil)
		for i := range disks {
			if fmt.Sprint("data-", i) == c[0].Instance {
				m.net.Kill(ip(i))
			}
		}
		time.Sleep(3 * time.Second)
		moved := m.holder.Choose("b0", c)
		m.g.Expect(moved).To(HaveLen(2))
		m.g.Expect(moved).NotTo(ContainElement(c[0]))
		for i := range disks - 1 {
			m.net.Kill(ip(i))
		}
		time.Sleep(3 * time.Second)
		m.g.Expect(m.holder.Choose("b0", moved)).To(BeEmpty())
	})
}

// A copy is out of reach while results are appended. They must not count as kept, and
// what the others have must not be lost when it is back.
func TestAllCopiesOrNone(t *testing.T) {
	withMachines(t, func(m *machines) {
		ctx := context.Background()
		c := m.holder.Choose("b", nil)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		silent := ip(int(c[1].Instance[len("data-")] - '0'))
		m.net.Cut("10.0.0.1", silent)
		var few *FewError
		m.g.Expect(errors.As(m.holder.Append(ctx, "b", 1, c, 1, 0, results("b")), &few)).To(BeTrue())
		m.g.Expect(few.Taken).To(Equal(1))
		m.net.Heal("10.0.0.1", silent)
		time.Sleep(2 * time.Second)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 1, 0, results("b", "c"))).To(Succeed())
		for _, s := range m.data {
			if s.mesh.Self().Name == c[0].Instance || s.mesh.Self().Name == c[1].Instance {
				kept, err := s.dir.Seal("b", 1, 0)
				m.g.Expect(err).NotTo(HaveOccurred())
				m.g.Expect(kept).To(Equal(results("a", "b", "c")))
			}
		}
	})
}

// A successor reaches one copy only. From then on the earlier holder must be refused,
// although the other copy knows nothing of the successor.
func TestOneSealedCopyIsEnough(t *testing.T) {
	withMachines(t, func(m *machines) {
		ctx := context.Background()
		c := m.holder.Choose("b", nil)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		kept, err := m.holder.Seal(ctx, "b", 2, c[:1], 0)
		m.g.Expect(err).NotTo(HaveOccurred())
		m.g.Expect(kept).To(Equal(results("a")))
		var fenced *seal.FencedError
		m.g.Expect(errors.As(m.holder.Append(ctx, "b", 1, c, 1, 0, results("b")), &fenced)).To(BeTrue())
	})
}

// The record names a disk that was replaced. Its instance lives, and must not answer for
// it: a successor would go on without what was listed. It learns that none is left.
func TestReplacedDisk(t *testing.T) {
	withMachines(t, func(m *machines) {
		c := m.holder.Choose("b", nil)
		c[0].Disk, c[1].Disk = "another", "one"
		start := time.Now()
		_, err := m.holder.Seal(context.Background(), "b", 2, c, 0)
		var few *FewError
		m.g.Expect(errors.As(err, &few)).To(BeTrue())
		m.g.Expect(time.Since(start)).To(BeNumerically("~", sealPatience, time.Second))
	})
}

// An operator empties an instance. It waits for the store to have what is there, and not
// for ever.
func TestEmpty(t *testing.T) {
	withMachines(t, func(m *machines) {
		ctx := context.Background()
		c := m.holder.Choose("b", nil)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		for _, s := range m.data {
			if s.mesh.Self().Name != c[0].Instance {
				continue
			}
			start := time.Now()
			time.AfterFunc(time.Second, func() { m.holder.Drop(ctx, "b", 1, c) })
			s.Empty(ctx)
			m.g.Expect(time.Since(start)).To(BeNumerically("~", time.Second, 300*time.Millisecond))
		}
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 1, 1, results("b"))).NotTo(Succeed())
	})
}
