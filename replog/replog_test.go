package replog

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
	// memberStore is the part of the metadata store by which instances find each other.
	memberStore struct {
		kvst.Store
		mu    sync.Mutex
		items []kvst.Item
	}

	// cluster is an owner and four data instances with disks, two in each data centre.
	cluster struct {
		g     *WithT
		net   *memnet.Network
		store *memberStore
		owner *Log
		data  []*Log
		stop  context.CancelFunc
	}
)

func (a *memberStore) Commit(_ context.Context, t kvst.Txn) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	revision := int64(len(a.items) + 1)
	for _, p := range t.Puts {
		a.items = append(a.items, kvst.Item{Key: p.Key, Value: p.Value, Revision: revision})
	}
	return revision, nil
}

func (a *memberStore) List(context.Context, string) ([]kvst.Item, int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]kvst.Item(nil), a.items...), int64(len(a.items)), nil
}

const diskCount = 4

// withCluster runs f with a cluster that may lose one disk at a time.
func withCluster(t *testing.T, f func(m *cluster)) {
	t.Helper()
	dirs := make([]*walog.Dir, diskCount)
	for i := range dirs {
		d, err := walog.Open(t.TempDir())
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		dirs[i] = d
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		m := &cluster{g: NewWithT(t), net: memnet.New(memnet.WithDelay(time.Millisecond)), store: &memberStore{}, stop: stop}
		m.owner = m.start(ctx, mesh.Node{Name: "entry", Addr: "10.0.0.1:1"})
		for i, d := range dirs {
			n := mesh.Node{Name: fmt.Sprint("data-", i), Addr: machineIP(i) + ":1", DataCentre: fmt.Sprint("dc-", i/2), Disk: d.Disk()}
			m.data = append(m.data, m.start(ctx, n, WithDir(d)))
		}
		time.Sleep(2 * time.Second)
		f(m)
		stop()
		m.net.Close()
		time.Sleep(time.Minute)
	})
}

func machineIP(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }

func (m *cluster) start(ctx context.Context, n mesh.Node, opts ...Option) *Log {
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

// machineIndex returns the index of the machine with a replica.
func machineIndex(c batch.Replica) int { return int(c.Instance[len("data-")] - '0') }

// Each batch has three replicas, in both data centres, so that two are left after the loss
// of any disk. They don't move while they are live, and a lost one is replaced. If too few disks
// are left there are none, and results wait for the store.
func TestWhereCopiesAre(t *testing.T) {
	withCluster(t, func(m *cluster) {
		used := make(map[string]int)
		for i := range 40 {
			id := fmt.Sprint("b", i)
			c := m.owner.Choose(id, nil)
			m.g.Expect(c).To(HaveLen(3))
			dataCentres := make(map[int]bool)
			for _, replica := range c {
				m.g.Expect(replica.Instance[:5]).To(Equal("data-"))
				dataCentres[machineIndex(replica)/2] = true
				used[replica.Instance]++
			}
			m.g.Expect(dataCentres).To(HaveLen(2), "replicas %v are in one data centre", c)
			m.g.Expect(m.owner.Choose(id, c)).To(Equal(c))
		}
		m.g.Expect(used).To(HaveLen(diskCount))
		c := m.owner.Choose("b0", nil)
		m.net.Kill(machineIP(machineIndex(c[0])))
		time.Sleep(3 * time.Second)
		moved := m.owner.Choose("b0", c)
		m.g.Expect(moved).To(HaveLen(3))
		m.g.Expect(moved).NotTo(ContainElement(c[0]))
		m.net.Kill(machineIP(machineIndex(moved[0])))
		time.Sleep(3 * time.Second)
		fewer := m.owner.Choose("b0", moved)
		m.g.Expect(fewer).To(HaveLen(2), "with two disks left, one may still be lost")
		m.net.Kill(machineIP(machineIndex(fewer[0])))
		time.Sleep(3 * time.Second)
		m.g.Expect(m.owner.Choose("b0", fewer)).To(BeEmpty())
	})
}

// Replicas are out of reach during appends, as when a data instance is replaced during an
// outage of the store. Without one of three, appends succeed; without two, they must fail.
// Replicas that come back get the results that they missed.
func TestCopiesOutOfReach(t *testing.T) {
	withCluster(t, func(m *cluster) {
		ctx := context.Background()
		c := m.owner.Choose("b", nil)
		m.g.Expect(m.owner.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		m.net.Partition("10.0.0.1", machineIP(machineIndex(c[1])))
		m.g.Expect(m.owner.Append(ctx, "b", 1, c, 1, 0, results("a", "b"))).To(Succeed())
		m.net.Partition("10.0.0.1", machineIP(machineIndex(c[2])))
		var quorumErr *QuorumError
		m.g.Expect(errors.As(m.owner.Append(ctx, "b", 1, c, 2, 0, results("a", "b", "c")), &quorumErr)).To(BeTrue())
		m.g.Expect(quorumErr.Acked).To(Equal(1))
		m.net.Heal("10.0.0.1", machineIP(machineIndex(c[1])))
		m.net.Heal("10.0.0.1", machineIP(machineIndex(c[2])))
		time.Sleep(2 * time.Second)
		m.g.Expect(m.owner.Append(ctx, "b", 1, c, 2, 0, results("a", "b", "c", "d"))).To(Succeed())
		time.Sleep(time.Second) // Append returns once two have them
		for _, replica := range c {
			got, _, err := m.data[machineIndex(replica)].dir.Seal("b", 1, 0)
			m.g.Expect(err).NotTo(HaveOccurred())
			m.g.Expect(got).To(Equal(results("a", "b", "c", "d")), replica.Instance)
		}
	})
}

// A data instance is frozen. Appends must not wait for it: a submission in an outage would be
// accepted a second late.
func TestFrozenCopyHoldsNothingUp(t *testing.T) {
	withCluster(t, func(m *cluster) {
		c := m.owner.Choose("b", nil)
		m.net.Freeze(machineIP(machineIndex(c[0])))
		start := time.Now()
		m.g.Expect(m.owner.Append(context.Background(), "b", 1, c, 0, 0, results("a"))).To(Succeed())
		m.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
		time.Sleep(2 * callTimeout)
	})
}

// A successor seals two of three replicas. From then on the earlier owner must be refused,
// although the third replica doesn't know of the successor.
func TestSealedCopiesRefuse(t *testing.T) {
	withCluster(t, func(m *cluster) {
		ctx := context.Background()
		c := m.owner.Choose("b", nil)
		m.g.Expect(m.owner.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		successor := m.data[machineIndex(c[0])]
		m.net.Partition(machineIP(machineIndex(c[0])), machineIP(machineIndex(c[2])))
		time.Sleep(3 * time.Second)
		got, err := successor.Seal(ctx, "b", 2, c, 0)
		m.g.Expect(err).NotTo(HaveOccurred())
		m.g.Expect(got).To(Equal(results("a")))
		var fenced *seal.FencedError
		m.g.Expect(errors.As(m.owner.Append(ctx, "b", 1, c, 1, 0, results("a", "b")), &fenced)).To(BeTrue())
	})
}

// The listed results are on two of three replicas, and a successor reaches only the third.
// Seal must not succeed as if that one had everything, and must return none of the results found,
// with which the caller might continue.
func TestOneOfThreeIsNotEnough(t *testing.T) {
	withCluster(t, func(m *cluster) {
		ctx := context.Background()
		c := m.owner.Choose("b", nil)
		m.g.Expect(m.owner.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		m.g.Expect(m.owner.Append(ctx, "b", 1, c[:2], 1, 0, results("a", "b"))).To(Succeed())
		for _, replica := range c[:2] {
			m.net.Kill(machineIP(machineIndex(replica)))
		}
		time.Sleep(3 * time.Second)
		start := time.Now()
		found, err := m.owner.Seal(ctx, "b", 2, c, 0)
		var quorumErr *QuorumError
		m.g.Expect(errors.As(err, &quorumErr)).To(BeTrue())
		m.g.Expect(found).To(BeEmpty())
		m.g.Expect(time.Since(start)).To(BeNumerically("<=", callTimeout))
	})
}

// The record names disks that were replaced. Their live instances must not answer for them,
// or a successor would continue without the listed results. Seal must fail.
func TestReplacedDisk(t *testing.T) {
	withCluster(t, func(m *cluster) {
		c := m.owner.Choose("b", nil)
		c[0].Disk, c[1].Disk, c[2].Disk = "another", "one", "each"
		start := time.Now()
		found, err := m.owner.Seal(context.Background(), "b", 2, c, 0)
		var quorumErr *QuorumError
		m.g.Expect(errors.As(err, &quorumErr)).To(BeTrue())
		m.g.Expect(found).To(BeEmpty())
		m.g.Expect(time.Since(start)).To(BeNumerically("<=", callTimeout))
	})
}

// An operator drains an instance. It must say which results on its disk the store may lack for as
// long as it does, accept no others, and let those be read.
func TestEmpty(t *testing.T) {
	withCluster(t, func(m *cluster) {
		ctx := context.Background()
		c := m.owner.Choose("b", nil)
		m.g.Expect(m.owner.Append(ctx, "b", 1, c, 0, 0, results("a"))).To(Succeed())
		time.Sleep(time.Second) // Append returns once two have them
		drained := m.data[machineIndex(c[0])]
		m.g.Expect(drained.mesh.Self().Name).To(Equal(c[0].Instance))
		m.g.Expect(drained.CloseDisk()).To(Succeed())
		m.g.Expect(drained.Pending()).To(Equal([]string{"b"}))
		found, err := m.owner.Seal(ctx, "b", 1, c[:1], 0)
		m.g.Expect(err).NotTo(HaveOccurred())
		m.g.Expect(found).To(Equal(results("a")))
		m.owner.Drop(ctx, "b", 1, c, 1)
		m.g.Expect(drained.Pending()).To(BeEmpty())
		var closed *walog.ClosedError
		err = m.data[machineIndex(c[0])].dir.Append("b", 1, 1, 1, results("b"))
		m.g.Expect(errors.As(err, &closed)).To(BeTrue())
		m.g.Expect(m.owner.Append(ctx, "b", 1, c[:2], 1, 1, results("b"))).NotTo(Succeed(), "one of two replicas refuses")
	})
}

// Of two replicas a successor seals the one that it reaches, and the owner reaches the other one. If that
// confirmed its ownership, both would answer reads.
func TestConfirmationMeetsEachSeal(t *testing.T) {
	withCluster(t, func(m *cluster) {
		ctx := context.Background()
		c := m.owner.Choose("b", nil)[:2]
		m.g.Expect(m.owner.Confirm(ctx, "b", 1, c)).To(Succeed())
		at := 0
		for at == machineIndex(c[0]) || at == machineIndex(c[1]) {
			at++
		}
		m.net.Partition(machineIP(at), machineIP(machineIndex(c[0])))
		m.net.Partition("10.0.0.1", machineIP(machineIndex(c[1])))
		_, err := m.data[at].Seal(ctx, "b", 2, c, 0)
		m.g.Expect(err).NotTo(HaveOccurred())
		var tooFew *QuorumError
		m.g.Expect(errors.As(m.owner.Confirm(ctx, "b", 1, c), &tooFew)).To(BeTrue())
		m.net.Heal("10.0.0.1", machineIP(machineIndex(c[1])))
		time.Sleep(2 * time.Second)
		var fenced *seal.FencedError
		m.g.Expect(errors.As(m.owner.Confirm(ctx, "b", 1, c), &fenced)).To(BeTrue())
	})
}

// The owner of a batch was replaced, its successor has left out a disk that was emptied, and the instance
// with that disk still answers. It must not confirm the owner together with one other replica, which the
// seal may have left out as well: outdated reads would be served.
func TestClosedDiskConfirmsNoOwner(t *testing.T) {
	withCluster(t, func(m *cluster) {
		ctx := context.Background()
		c := m.owner.Choose("b", nil)
		m.g.Expect(m.owner.Confirm(ctx, "b", 1, c)).To(Succeed())
		m.g.Expect(m.data[machineIndex(c[0])].CloseDisk()).To(Succeed())
		m.g.Expect(m.owner.Confirm(ctx, "b", 1, c)).To(Succeed(), "two others answer")
		m.net.Partition("10.0.0.1", machineIP(machineIndex(c[1])))
		var quorumErr *QuorumError
		m.g.Expect(errors.As(m.owner.Confirm(ctx, "b", 1, c), &quorumErr)).To(BeTrue())
		m.g.Expect(m.owner.Probe(ctx, "b", 1, c)).To(Succeed(), "a seal still needs the disk, as no record says otherwise")
	})
}
