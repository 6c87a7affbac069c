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

// number is which machine has a copy.
func number(c batch.Copy) int { return int(c.Instance[len("data-")] - '0') }

// One disk may be lost, and so may a data centre be out of reach: each submission has
// three copies, in both data centres, so that two are left whichever machine is lost, and
// keeps them while they live. When one is gone it gets another; when too few are left it
// gets none, and its results wait for the store.
func TestWhereCopiesAre(t *testing.T) {
	withMachines(t, func(m *machines) {
		used := make(map[string]int)
		for i := range 40 {
			id := fmt.Sprint("b", i)
			c := m.holder.Choose(id, nil)
			m.g.Expect(c).To(HaveLen(3))
			centres := make(map[int]bool)
			for _, one := range c {
				m.g.Expect(one.Instance[:5]).To(Equal("data-"))
				centres[number(one)/2] = true
				used[one.Instance]++
			}
			m.g.Expect(centres).To(HaveLen(2), "%v are in one data centre", c)
			m.g.Expect(m.holder.Choose(id, c)).To(Equal(c))
		}
		m.g.Expect(used).To(HaveLen(disks))
		c := m.holder.Choose("b0", nil)
		m.net.Kill(ip(number(c[0])))
		time.Sleep(3 * time.Second)
		moved := m.holder.Choose("b0", c)
		m.g.Expect(moved).To(HaveLen(3))
		m.g.Expect(moved).NotTo(ContainElement(c[0]))
		m.net.Kill(ip(number(moved[0])))
		time.Sleep(3 * time.Second)
		fewer := m.holder.Choose("b0", moved)
		m.g.Expect(fewer).To(HaveLen(2), "two disks are enough to lose one")
		m.net.Kill(ip(number(fewer[0])))
		time.Sleep(3 * time.Second)
		m.g.Expect(m.holder.Choose("b0", fewer)).To(BeEmpty())
	})
}

// Copies are out of reach while results are appended, as when a data instance is replaced
// in an outage of the store. One of three holds nothing up; with two, what is appended must
// not count as kept. Those that are back get what they missed.
func TestCopiesOutOfReach(t *testing.T) {
	withMachines(t, func(m *machines) {
		ctx := context.Background()
		c := m.holder.Choose("b", nil)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		m.net.Cut("10.0.0.1", ip(number(c[1])))
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 1, 0, results("a", "b"))).To(Succeed())
		m.net.Cut("10.0.0.1", ip(number(c[2])))
		var few *FewError
		m.g.Expect(errors.As(m.holder.Append(ctx, "b", 1, c, 2, 0, results("a", "b", "c")), &few)).To(BeTrue())
		m.g.Expect(few.Taken).To(Equal(1))
		m.net.Heal("10.0.0.1", ip(number(c[1])))
		m.net.Heal("10.0.0.1", ip(number(c[2])))
		time.Sleep(2 * time.Second)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 2, 0, results("a", "b", "c", "d"))).To(Succeed())
		for _, one := range c {
			kept, _, err := m.data[number(one)].dir.Seal("b", 1, 0)
			m.g.Expect(err).NotTo(HaveOccurred())
			m.g.Expect(kept).To(Equal(results("a", "b", "c", "d")), one.Instance)
		}
	})
}

// A successor reaches two of three copies. From then on the earlier holder must be refused,
// although the third knows nothing of the successor.
func TestSealedCopiesRefuse(t *testing.T) {
	withMachines(t, func(m *machines) {
		ctx := context.Background()
		c := m.holder.Choose("b", nil)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		successor := m.data[number(c[0])]
		m.net.Cut(ip(number(c[0])), ip(number(c[2])))
		time.Sleep(3 * time.Second)
		kept, err := successor.Seal(ctx, "b", 2, c, 0)
		m.g.Expect(err).NotTo(HaveOccurred())
		m.g.Expect(kept).To(Equal(results("a")))
		var fenced *seal.FencedError
		m.g.Expect(errors.As(m.holder.Append(ctx, "b", 1, c, 1, 0, results("a", "b")), &fenced)).To(BeTrue())
	})
}

// What was listed is on two of three copies, and a successor finds the third only. It must
// not go on as if that one had everything; after a while it learns so, with what there is.
func TestOneOfThreeIsNotEnough(t *testing.T) {
	withMachines(t, func(m *machines) {
		ctx := context.Background()
		c := m.holder.Choose("b", nil)
		m.g.Expect(m.holder.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		m.g.Expect(m.holder.Append(ctx, "b", 1, c[:2], 1, 0, results("a", "b"))).To(Succeed())
		for _, one := range c[:2] {
			m.net.Kill(ip(number(one)))
		}
		time.Sleep(3 * time.Second)
		start := time.Now()
		found, err := m.holder.Seal(ctx, "b", 2, c, 0)
		var few *FewError
		m.g.Expect(errors.As(err, &few)).To(BeTrue())
		m.g.Expect(found).To(Equal(results("a")))
		m.g.Expect(time.Since(start)).To(BeNumerically("~", sealPatience, time.Second))
	})
}

// The record names a disk that was replaced. Its instance lives, and must not answer for
// it: a successor would go on without what was listed. It learns that none is left.
func TestReplacedDisk(t *testing.T) {
	withMachines(t, func(m *machines) {
		c := m.holder.Choose("b", nil)
		c[0].Disk, c[1].Disk, c[2].Disk = "another", "one", "each"
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
		var closed *walog.ClosedError
		err := m.data[number(c[0])].dir.Append("b", 1, 1, 1, results("b"))
		m.g.Expect(errors.As(err, &closed)).To(BeTrue())
		m.g.Expect(m.holder.Append(ctx, "b", 1, c[:2], 1, 1, results("b"))).NotTo(Succeed(), "one of two takes nothing")
	})
}
