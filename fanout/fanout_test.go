package fanout

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/kvrepl"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/memnet"
	"github.com/lavendermux/lavendermux/mesh"
)

const (
	prefix     = "p/"
	readerAddr = "10.0.0.1:80"
	// maxUnnoticed is how long an instance may take to notice that it has lost contact.
	maxUnnoticed = 3 * time.Second
)

// cutStore is a store with one item. Once cut off, its calls get no answer.
type cutStore struct {
	mu       sync.Mutex
	revision int64
	isCut    bool
}

func (s *cutStore) List(ctx context.Context, _ string) ([]kvst.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCut {
		return nil, 0, &kvst.UnknownOutcomeError{Cause: errors.New("no answer")}
	}
	return []kvst.Item{{Key: prefix + "a", Revision: s.revision}}, s.revision, ctx.Err()
}

func (s *cutStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kvst.Changes, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCut {
		return kvst.Changes{}, &kvst.UnknownOutcomeError{Cause: errors.New("no answer")}
	}
	return kvst.Changes{Revision: max(after, s.revision)}, ctx.Err()
}

// A reader is cut off from the store while what the store holds changes, and other instances
// start at different moments after that. They may take the old state from the reader only for
// as long as it can't have noticed; after that they must have none rather than an old one.
func TestStartFromReaderThatIsCutOff(t *testing.T) {
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond,
		maxUnnoticed, 4 * time.Second, 10 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(time.Minute)
			defer cancel()
			net, store, logger := memnet.New(), &cutStore{revision: 5}, logs.New(io.Discard)
			defer net.Close()
			newDistributor := func(name string) *Distributor {
				client := &http.Client{Transport: net.Transport(name)}
				return New(mesh.New(mesh.Node{Name: name, Addr: readerAddr, Plans: true}, client, logger), store)
			}
			reader := newDistributor("10.0.0.1")
			replica := kvrepl.New(store, prefix, logger, kvrepl.WithSourceSelector(reader.SelectSource))
			reader.Register(prefix, replica)
			path, handler := reader.Handler()
			routes := http.NewServeMux()
			routes.Handle(path, handler)
			_, err := net.Serve(readerAddr, routes)
			g.Expect(err).NotTo(HaveOccurred())
			go replica.Run(ctx)
			time.Sleep(10 * time.Second)

			store.mu.Lock()
			store.revision, store.isCut = 6, true
			store.mu.Unlock()
			time.Sleep(after)
			source := &peerSource{d: newDistributor("10.0.0.2"), node: mesh.Node{Name: "10.0.0.1", Addr: readerAddr}}
			items, revision, err := source.List(ctx, prefix)
			switch {
			case after == 0:
				g.Expect(err).NotTo(HaveOccurred())
			case after >= maxUnnoticed:
				g.Expect(err).To(HaveOccurred(), "after %s", after)
			}
			if err == nil {
				g.Expect(revision).To(BeEquivalentTo(5))
				g.Expect(items).To(HaveLen(1))
				g.Expect(source.Age()+time.Millisecond).To(BeNumerically(">=", after), "the age says how old the state is")
			}
		})
	}
}

// A replica that has a later revision meets a reader that is behind, such as one that was cut
// off and is healed. Going back would undo what was in force.
func TestReaderBehindIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		defer cancel()
		ahead, behind := &cutStore{revision: 9}, &cutStore{revision: 8}
		var mu sync.Mutex
		source := kvrepl.SelectedSource{Source: ahead}
		replica := kvrepl.New(ahead, prefix, logs.New(io.Discard), kvrepl.WithSourceSelector(func() kvrepl.SelectedSource {
			mu.Lock()
			defer mu.Unlock()
			return source
		}))
		go replica.Run(ctx)
		time.Sleep(5 * time.Second)
		g.Expect(replica.Revision()).To(BeEquivalentTo(9))
		mu.Lock()
		source.Source = behind
		mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(replica.Revision()).To(BeEquivalentTo(9))
		}
	})
}

// Guards against an age that leaves out the way: an answer that was long on its way counts as young as
// it was at the reader.
func TestAgeCountsTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 80 * time.Millisecond
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		defer cancel()
		net, store, logger := memnet.New(memnet.WithDelay(delay)), &cutStore{revision: 5}, logs.New(io.Discard)
		defer net.Close()
		newDistributor := func(name string) *Distributor {
			return New(mesh.New(mesh.Node{Name: name, Addr: readerAddr, Plans: true}, &http.Client{Transport: net.Transport(name)}, logger), store)
		}
		reader := newDistributor("10.0.0.1")
		replica := kvrepl.New(store, prefix, logger, kvrepl.WithSourceSelector(reader.SelectSource))
		reader.Register(prefix, replica)
		path, handler := reader.Handler()
		routes := http.NewServeMux()
		routes.Handle(path, handler)
		_, err := net.Serve(readerAddr, routes)
		g.Expect(err).NotTo(HaveOccurred())
		go replica.Run(ctx)
		source := &peerSource{d: newDistributor("10.0.0.2"), node: mesh.Node{Name: "10.0.0.1", Addr: readerAddr}}
		for range 40 {
			time.Sleep(130 * time.Millisecond)
			_, err := source.Watch(ctx, prefix, 5, 100*time.Millisecond)
			g.Expect(err).NotTo(HaveOccurred())
			// The reader has said how old its state was one delay ago, and it may be confirmed since.
			g.Expect(source.Age()).To(BeNumerically(">=", min(replica.Age(), delay)))
		}
	})
}

// Guards against two replicas that go on asking the source that has failed both: each failure moved a
// common counter on, and with two sources two failures at a time led back to the same one.
func TestTwoReplicasLeaveASource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := New(mesh.New(mesh.Node{Name: "c"}, &http.Client{}, logs.New(io.Discard)), &cutStore{})
		nodes := []mesh.Node{{Name: "a"}, {Name: "b"}}
		g.Expect(d.peer(nodes).Name).To(Equal("a"))
		for range 2 {
			d.recordCall("a", errStale)
		}
		g.Expect(d.peer(nodes).Name).To(Equal("b"))
		time.Sleep(time.Millisecond)
		d.recordCall("b", errStale)
		g.Expect(d.peer(nodes).Name).To(Equal("a"), "the one that failed first, if all have")
		time.Sleep(avoidTime + time.Millisecond)
		g.Expect(d.peer(nodes).Name).To(Equal("a"), "the preferred one")
	})
}
