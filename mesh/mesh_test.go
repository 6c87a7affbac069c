package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/memnet"
	"github.com/lavendermux/lavendermux/ring"
	"github.com/lavendermux/lavendermux/speed"
)

const (
	largeFleet = 40
	smallFleet = 8
	// minSparseFleet is the smallest fleet in which not every instance probes all
	// others.
	minSparseFleet = 34
)

type (
	// fakeStore implements the part of the metadata store that a mesh uses.
	fakeStore struct {
		kvst.Store
		mu       sync.Mutex
		revision int64
		items    map[string]kvst.Item
	}

	// testInstance is one instance with the callbacks its mesh made.
	testInstance struct {
		*Mesh
		ip     string
		cancel context.CancelFunc

		mu      sync.Mutex
		holding map[string]int64
		lost    []string
		// speeds are sent, and told are those that each neighbour has sent.
		speeds map[string]speed.Sum
		told   map[string]map[string]speed.Sum
	}

	// deployment is a fleet on an in-memory network.
	deployment struct {
		g       *WithT
		net     *memnet.Network
		store   *fakeStore
		members []*testInstance
		// calls and bytes count all probes and witness calls.
		calls, bytes atomic.Int64
	}

	countingTransport struct {
		http.RoundTripper
		d *deployment
	}
)

func (a *fakeStore) Commit(_ context.Context, t kvst.Txn) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, revision := range t.Expect {
		if a.items[key].Revision != revision {
			return 0, &kvst.ConflictError{Current: []kvst.Item{a.items[key]}}
		}
	}
	a.revision++
	for _, p := range t.Puts {
		a.items[p.Key] = kvst.Item{Key: p.Key, Value: p.Value, Revision: a.revision}
	}
	for _, key := range t.Remove {
		delete(a.items, key)
	}
	return a.revision, nil
}

func (a *fakeStore) List(_ context.Context, prefix string) (items []kvst.Item, revision int64, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, it := range a.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, it)
		}
	}
	return items, a.revision, nil
}

func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.d.calls.Add(1)
	c.d.bytes.Add(max(0, r.ContentLength))
	res, err := c.RoundTripper.RoundTrip(r)
	if err == nil {
		c.d.bytes.Add(max(0, res.ContentLength))
	}
	return res, err
}

// withDeployment runs f with n instances that have found each other.
func withDeployment(t *testing.T, n int, f func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{g: NewWithT(t), net: memnet.New(memnet.WithDelay(time.Millisecond)), store: &fakeStore{items: make(map[string]kvst.Item)}}
		for i := range n {
			d.members = append(d.members, d.start(i, "first"))
		}
		time.Sleep(2 * time.Second)
		for _, m := range d.members {
			d.g.Expect(m.Alive()).To(HaveLen(n-1), "at %s", m.self.Name)
		}
		f(d)
		for _, m := range d.members {
			m.cancel()
		}
		d.net.Close()
		time.Sleep(time.Minute)
	})
}

func (d *deployment) start(i int, boot string) *testInstance {
	ip := fmt.Sprintf("10.0.%d.%d", i/200, i%200+1)
	ctx, cancel := context.WithCancel(context.Background())
	m := &testInstance{ip: ip, cancel: cancel, holding: make(map[string]int64), told: make(map[string]map[string]speed.Sum)}
	self := Node{Name: fmt.Sprintf("entry-%03d", i), Addr: ip + ":1", Boot: boot, Plans: true, Power: 0.3}
	m.Mesh = New(self, &http.Client{Transport: countingTransport{RoundTripper: d.net.Transport(ip), d: d}}, logs.New(io.Discard),
		WithStatus(m.status), WithOnLost(m.takeLost), WithOnSpeeds(m.takeSpeeds))
	mux := http.NewServeMux()
	m.Mount(mux)
	srv, err := d.net.Serve(self.Addr, mux)
	d.g.Expect(err).NotTo(HaveOccurred())
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go m.Run(ctx, d.store)
	return m
}

func (m *testInstance) status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	holding := make(map[string]int64)
	for id, epoch := range m.holding {
		holding[id] = epoch
	}
	return Status{OpenEpochs: holding, ReachesStore: true, Speeds: m.speeds}
}

func (m *testInstance) hold(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding[id] = 1
}

func (m *testInstance) takeLost(n Node, last Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = append(m.lost, fmt.Sprintf("%s holding %d", n.Holder(), len(last.OpenEpochs)))
}

func (m *testInstance) takeSpeeds(n Node, speeds map[string]speed.Sum) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told[n.Name] = speeds
}

func (m *testInstance) losses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

func (d *deployment) kill(i int) {
	d.net.Kill(d.members[i].ip)
	d.members[i].cancel()
}

// isolate applies change to the links between an instance and all others.
func (d *deployment) isolate(i int, change func(a, b string)) {
	for j, m := range d.members {
		if j != i {
			change(d.members[i].ip, m.ip)
		}
	}
}

// The owner of a batch is killed. Each other instance must learn of it soon, also in a
// fleet in which not all probe all: the trainer waits until one of them has taken the
// batch over.
func TestLossIsKnownEverywhere(t *testing.T) {
	for _, n := range []int{smallFleet, largeFleet} {
		withDeployment(t, n, func(d *deployment) {
			d.members[0].hold("b1")
			time.Sleep(time.Second)
			for _, m := range d.members[1:] {
				owner, ok := m.OwnerOf("b1")
				d.g.Expect(ok).To(BeTrue())
				d.g.Expect(owner.Name).To(Equal("entry-000"))
			}
			d.kill(0)
			time.Sleep(2500 * time.Millisecond)
			for _, m := range d.members[1:] {
				d.g.Expect(m.Alive()).To(HaveLen(n - 2))
				d.g.Expect(m.losses()).To(ConsistOf("entry-000/first holding 1"))
			}
		})
	}
}

// A batch is opened on one instance. In a large fleet others learn of it by gossip, and
// a trainer that reads results from any of them must be routed to the owner without a
// wait.
func TestNewsTravelsFast(t *testing.T) {
	withDeployment(t, largeFleet, func(d *deployment) {
		d.members[7].hold("b1")
		time.Sleep(600 * time.Millisecond)
		for i, m := range d.members {
			_, ok := m.OwnerOf("b1")
			d.g.Expect(ok).To(Equal(i != 7), "at %d", i)
		}
	})
}

// An instance restarts before any peer has missed it. Every peer must learn that the
// earlier incarnation is gone, with the batches it owned, and know the new one.
func TestStartedAgain(t *testing.T) {
	for _, n := range []int{smallFleet, largeFleet} {
		withDeployment(t, n, func(d *deployment) {
			d.members[0].hold("b1")
			time.Sleep(time.Second)
			d.kill(0)
			time.Sleep(300 * time.Millisecond)
			d.members[0] = d.start(0, "second")
			time.Sleep(1500 * time.Millisecond)
			for _, m := range d.members[1:] {
				_, alive := m.FindHolder("entry-000/second")
				d.g.Expect(alive).To(BeTrue())
				_, owns := m.OwnerOf("b1")
				d.g.Expect(owns).To(BeFalse())
				d.g.Expect(m.losses()).To(ConsistOf("entry-000/first holding 1"))
			}
			d.g.Expect(d.members[0].Alive()).To(HaveLen(n - 1))
		})
	}
}

// The link between two instances is broken while both reach all others. No peer may
// take over their batches: others see that they are alive.
func TestOneBrokenWay(t *testing.T) {
	withDeployment(t, largeFleet, func(d *deployment) {
		for i := range d.members {
			d.members[i].hold(fmt.Sprintf("b%d", i))
		}
		names := []string{d.members[0].self.Name}
		for _, n := range d.members[0].Alive() {
			names = append(names, n.Name)
		}
		near, far := ring.New(names...).Neighbours(names[0])
		for _, m := range d.members[1:] {
			if !slices.Contains(near, m.self.Name) && !slices.Contains(far, m.self.Name) {
				continue
			}
			d.net.Partition(d.members[0].ip, m.ip)
			time.Sleep(2 * time.Second)
			d.net.Heal(d.members[0].ip, m.ip)
		}
		for _, m := range d.members {
			d.g.Expect(m.losses()).To(BeEmpty(), "at %s", m.self.Name)
		}
	})
}

// An instance is cut off from all others for some seconds. The others must declare it
// lost. It must not declare them lost, nor spread that among them after the network
// heals: each batch of the fleet would change its owner.
func TestCutOff(t *testing.T) {
	withDeployment(t, largeFleet, func(d *deployment) {
		for i := range d.members {
			d.members[i].hold(fmt.Sprintf("b%d", i))
		}
		time.Sleep(time.Second)
		d.isolate(0, d.net.Partition)
		time.Sleep(6 * time.Second)
		d.g.Expect(d.members[0].Alive()).To(BeEmpty())
		for _, m := range d.members[1:] {
			d.g.Expect(m.losses()).To(ConsistOf("entry-000/first holding 1"))
		}
		d.isolate(0, d.net.Heal)
		time.Sleep(4 * time.Second)
		for _, m := range d.members[1:] {
			d.g.Expect(m.Alive()).To(HaveLen(largeFleet - 1))
			d.g.Expect(m.losses()).To(HaveLen(1))
		}
		d.g.Expect(d.members[0].Alive()).To(HaveLen(largeFleet - 1))
		d.g.Expect(d.members[0].losses()).To(BeEmpty())
	})
}

// An instance that doesn't reach another must know that it is partitioned, also after
// it has dropped the peer, as it no longer receives its updates. While all links work,
// no instance may report a partition.
func TestPartedIsKnown(t *testing.T) {
	withDeployment(t, smallFleet, func(d *deployment) {
		partitioned := func() (names []string) {
			for _, m := range d.members {
				if m.Partitioned() {
					names = append(names, m.self.Name)
				}
			}
			return names
		}
		d.g.Expect(partitioned()).To(BeEmpty())
		cut := d.members[3]
		for _, m := range d.members {
			if m != cut {
				d.net.Partition(cut.ip, m.ip)
			}
		}
		for range 24 {
			time.Sleep(5 * time.Second)
			d.g.Expect(partitioned()).To(HaveLen(smallFleet))
		}
		for _, m := range d.members {
			d.net.Heal(cut.ip, m.ip)
		}
		time.Sleep(3 * time.Second)
		d.g.Expect(partitioned()).To(BeEmpty())
	})
}

// Half of a fleet fails at once, including neighbours of each other. All survivors must
// learn of all failed instances.
func TestHalfIsLost(t *testing.T) {
	withDeployment(t, largeFleet, func(d *deployment) {
		for i := range d.members {
			d.members[i].hold(fmt.Sprintf("b%d", i))
		}
		time.Sleep(time.Second)
		for i := range largeFleet / 2 {
			d.kill(2 * i)
		}
		time.Sleep(6 * time.Second)
		for i := range largeFleet / 2 {
			d.g.Expect(d.members[2*i+1].Alive()).To(HaveLen(largeFleet/2-1), "at %d", 2*i+1)
			d.g.Expect(d.members[2*i+1].losses()).To(HaveLen(largeFleet/2), "at %d", 2*i+1)
		}
	})
}

// Two halves of a fleet, such as regions, are partitioned for longer than peers are
// kept. They must find each other again without a restart.
func TestHalvesMeetAgain(t *testing.T) {
	withDeployment(t, minSparseFleet, func(d *deployment) {
		changeLinks := func(change func(a, b string)) {
			for i, a := range d.members {
				for _, b := range d.members[i+1:] {
					if (a.ip < d.members[minSparseFleet/2].ip) != (b.ip < d.members[minSparseFleet/2].ip) {
						change(a.ip, b.ip)
					}
				}
			}
		}
		changeLinks(d.net.Partition)
		time.Sleep(forgetAfter + 10*time.Second)
		for _, m := range d.members {
			d.g.Expect(len(m.Alive())).To(BeNumerically("<", minSparseFleet-1))
		}
		changeLinks(d.net.Heal)
		time.Sleep(relistInterval + 10*time.Second)
		for _, m := range d.members {
			d.g.Expect(m.Alive()).To(HaveLen(minSparseFleet-1), "at %s", m.self.Name)
		}
	})
}

// A machine is removed for good. Its announcement must be deleted, or each new instance
// would probe all that ever existed.
func TestAnnouncementOfTheGone(t *testing.T) {
	withDeployment(t, 3, func(d *deployment) {
		d.kill(0)
		time.Sleep(deregisterAfter - relistInterval)
		d.g.Expect(d.store.items).To(HaveKey(keyPrefix + "entry-000"))
		time.Sleep(5 * relistInterval)
		d.g.Expect(d.store.items).To(HaveLen(2))
		d.g.Expect(d.store.items).NotTo(HaveKey(keyPrefix + "entry-000"))
	})
}

// The cost of probing per instance must hardly grow with the fleet: the budget at 350
// instances is 1.3% of a core and 20 KB a second for all control traffic.
func TestSignsOfLifeGrowSlowly(t *testing.T) {
	type load struct{ calls, bytes float64 }
	measure := func(n int) (l load) {
		withDeployment(t, n, func(d *deployment) {
			const seconds = 5
			d.calls.Store(0)
			d.bytes.Store(0)
			time.Sleep(seconds * time.Second)
			l = load{calls: float64(d.calls.Load()) / seconds / float64(n), bytes: float64(d.bytes.Load()) / seconds / float64(n)}
		})
		return l
	}
	g := NewWithT(t)
	at40, at120 := measure(40), measure(120)
	t.Logf("at 40: %.1f probes and %.0f bytes a second each; at 120: %.1f and %.0f", at40.calls, at40.bytes, at120.calls, at120.bytes)
	g.Expect(at120.calls).To(BeNumerically("<", 1.4*at40.calls))
	g.Expect(at120.bytes).To(BeNumerically("<", 1.4*at40.bytes))
	g.Expect(at120.bytes).To(BeNumerically("<", 10_000))
}

// A whole fleet starts at once, on small machines. Each instance has to hear of each other one;
// if all its neighbours tell it, what it receives grows with the square of the fleet and more.
func TestStartTellsEachOnce(t *testing.T) {
	// An announcement has some 350 bytes; each may come twice.
	const maxBytesPerPeer = 700
	for _, n := range []int{50, 100} {
		withDeployment(t, n, func(d *deployment) {
			each := float64(d.bytes.Load()) / float64(n)
			t.Logf("%d instances: %.0f bytes each", n, each)
			d.g.Expect(each / float64(n)).To(BeNumerically("<", maxBytesPerPeer))
		})
	}
}

// A fleet is just so large that not all probe all. Its instances cross that size one after the
// other while they start, and what they learned before must not be lost for their neighbours.
func TestStartAtTheSizeOfAFullMesh(t *testing.T) {
	for n := ring.MaxFullMesh; n < ring.MaxFullMesh+4; n++ {
		for range 3 {
			withDeployment(t, n, func(*deployment) {}) // expects that all have found each other
		}
	}
}

// Owners open and close batches several times a second, and hundreds of instances change at
// once when the store turns them away. The messages for one change must not grow with the
// number of neighbours, of which a larger fleet has more.
func TestChangeIsToldOnce(t *testing.T) {
	const (
		changes  = 15
		interval = 300 * time.Millisecond
		// A change needs one message to each instance; some come while others are sent.
		maxCalls = 2
	)
	for _, n := range []int{50, 100} {
		withDeployment(t, n, func(d *deployment) {
			time.Sleep(3 * time.Second)
			d.calls.Store(0)
			time.Sleep(changes * interval)
			calm := d.calls.Swap(0)
			for i := range changes {
				d.members[i].hold(fmt.Sprint("b", i))
				time.Sleep(interval)
			}
			each := float64(d.calls.Load()-calm) / changes / float64(n)
			t.Logf("%d instances: %.2f calls each for a change", n, each)
			d.g.Expect(each).To(BeNumerically("<", maxCalls))
		})
	}
}

// An instance of a large fleet is paused, and receives a request right after it
// resumes. It must still treat its peers as alive: it would take over their batches
// otherwise.
func TestKnowsItsPeersAfterAPause(t *testing.T) {
	withDeployment(t, largeFleet, func(d *deployment) {
		m := d.members[0]
		m.mu.Lock()
		m.Mesh.mu.Lock()
		m.lastContact = time.Now().Add(-5 * time.Second)
		for _, p := range m.peers {
			p.lastContact = m.lastContact
		}
		m.Mesh.mu.Unlock()
		m.mu.Unlock()
		d.g.Expect(m.Alive()).To(HaveLen(largeFleet - 1))
	})
}

// A process is paused for some seconds. When it resumes, its outstanding probes are all
// overdue; it must not declare its peers lost because of that.
func TestPaused(t *testing.T) {
	g := NewWithT(t)
	m := New(Node{Name: "a"}, nil, logs.New(io.Discard), WithOnLost(func(n Node, _ Status) { t.Errorf("%s lost", n.Name) }))
	p := &peer{Node: Node{Name: "b"}, alive: true, lastContact: time.Now().Add(-5 * time.Second)}
	m.peers["b"] = p
	m.resetTimeout(p)
	m.handleMiss(context.Background(), p)
	g.Expect(p.alive).To(BeTrue())
}

var errUnused = errors.New("not used")

func (a *fakeStore) Get(context.Context, string) (kvst.Item, error) {
	return kvst.Item{}, errUnused
}
