package kvrepl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
)

// idleStore is a store in which nothing changes; with hangs its calls get no answer.
type idleStore struct {
	hangs bool
	calls int
}

func (s *idleStore) List(context.Context, string) ([]kvst.Item, int64, error) {
	return []kvst.Item{{Key: "p/a", Revision: 3}}, 5, nil
}

func (s *idleStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kvst.Changes, error) {
	s.calls++
	if s.hangs {
		wait += 700 * time.Millisecond
	}
	select {
	case <-ctx.Done():
		return kvst.Changes{}, ctx.Err()
	case <-time.After(wait):
	}
	if s.hangs {
		return kvst.Changes{}, &kvst.UnknownOutcomeError{Cause: errors.New("no answer")}
	}
	return kvst.Changes{Revision: after}, nil
}

// Nothing changes for a minute. A watch that is answered at the end of its wait confirms
// the replica at the time of the answer; with the time of the request, a reader would
// look partitioned from the store every few seconds, and its followers would leave it. A
// store that hangs shows in the age within one wait.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &idleStore{}
		r := New(store, "p/", logs.New(io.Discard))
		ctx, cancel := context.WithCancel(context.Background())
		go r.Run(ctx)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(r.Age()).To(BeNumerically("<=", defaultWatchWait+10*time.Millisecond))
		}
		g.Expect(store.calls).To(BeNumerically("<", 40))
		store.hangs = true
		time.Sleep(2*defaultWatchWait + time.Second)
		g.Expect(r.Age()).To(BeNumerically(">", defaultWatchWait+700*time.Millisecond))
		cancel()
		time.Sleep(time.Minute)
	})
}

// beatingStore holds endpoints that each write a heartbeat every five seconds.
type beatingStore struct {
	endpoints int
	revision  int64
	events    []kvst.Item
	changed   chan struct{}
	mu        sync.Mutex
}

// write changes a key; a nil value deletes it.
func (s *beatingStore) write(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, kvst.Item{Key: key, Value: []byte(value), Revision: s.revision, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *beatingStore) beat(ctx context.Context) {
	for beat := 0; ctx.Err() == nil; beat++ {
		for i := range s.endpoints {
			s.write(fmt.Sprint("p/", i), fmt.Sprint("slots 6, beat ", beat), false)
		}
		time.Sleep(5 * time.Second)
	}
}

func (s *beatingStore) List(context.Context, string) ([]kvst.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events, s.revision, nil
}

func (s *beatingStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kvst.Changes, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events, changed, revision := s.events[min(int(after), len(s.events)):], s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			return kvst.Changes{Items: events, Revision: revision}, nil
		}
		select {
		case <-changed:
		case <-end:
			return kvst.Changes{Revision: after}, nil
		case <-ctx.Done():
			return kvst.Changes{}, ctx.Err()
		}
	}
}

// equalSlots compares what an endpoint declares, without its heartbeat.
func equalSlots(a, b kvst.Item) bool {
	x, _, _ := strings.Cut(string(a.Value), ",")
	y, _, _ := strings.Cut(string(b.Value), ",")
	return x == y
}

// Each endpoint of a fleet writes a heartbeat every few seconds, and a reader serves what it
// reads to all instances. If it passed heartbeats on, each instance of a fleet would receive
// more the more endpoints there are: the bytes of all would grow with the square of the fleet.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	for _, endpoints := range []int{50, 400, 800} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			store := &beatingStore{endpoints: endpoints, changed: make(chan struct{})}
			var reported []kvst.Item
			r := New(store, "p/", logs.New(io.Discard), WithEquivalent(equalSlots), WithOnChange(func(it kvst.Item) { reported = append(reported, it) }))
			go store.beat(ctx)
			time.Sleep(time.Second)
			go r.Run(ctx)
			time.Sleep(time.Second)
			after := r.Revision()
			received := func() []kvst.Item {
				time.Sleep(time.Millisecond)
				done, cancelWait := context.WithTimeout(ctx, time.Millisecond)
				defer cancelWait()
				changes, _, err := r.ChangesSince(done, after)
				g.Expect(err).NotTo(HaveOccurred())
				after = changes.Revision
				return changes.Items
			}
			time.Sleep(time.Minute)
			g.Expect(received()).To(BeEmpty(), "%d endpoints", endpoints)
			g.Expect(r.Revision()).To(BeNumerically(">", 10*endpoints), "the reader itself follows")

			store.write("p/7", "slots 3, beat 0", false)
			g.Expect(received()).To(HaveLen(1), "a change")
			store.write("p/7", "", true)
			g.Expect(received()).To(HaveLen(1), "an endpoint that leaves")
			store.write("p/7", "slots 3, beat 1", false)
			g.Expect(received()).To(HaveLen(1), "an endpoint that comes back as it was")
			g.Expect(reported).To(HaveLen(3))
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// scriptedStore answers watches one after the other, each with a change and some time after it was sent.
type scriptedStore struct {
	took     []time.Duration
	revision int64
}

func (s *scriptedStore) List(context.Context, string) ([]kvst.Item, int64, error) {
	return []kvst.Item{{Key: "p/a", Revision: 3}}, s.revision, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) (kvst.Changes, error) {
	if len(s.took) == 0 {
		<-ctx.Done()
		return kvst.Changes{}, ctx.Err()
	}
	took := s.took[0]
	s.took = s.took[1:]
	time.Sleep(took)
	return kvst.Changes{Items: []kvst.Item{{Key: "p/a", Revision: after + 1}}, Revision: after + 1}, nil
}

// Guards against an age that is too low: an answer with a change was long on its way, and the state is
// taken for as young as the moment at which it arrived.
func TestAgeCountsFromTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const late = 600 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		r := New(&scriptedStore{took: []time.Duration{late}, revision: 5}, "p/", logs.New(io.Discard))
		go r.Run(ctx)
		time.Sleep(late + time.Millisecond)
		g.Expect(r.Revision()).To(BeEquivalentTo(6))
		g.Expect(r.Age()).To(BeNumerically(">=", late))
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a state that counts as confirmed before this instance acts on it: the callback of a
// change takes its time, and a request that is answered meanwhile uses the state before.
func TestConfirmedOnceApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const took, slow = time.Second, 400 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		r := New(&scriptedStore{took: []time.Duration{took, took}, revision: 5}, "p/", logs.New(io.Discard),
			WithOnChange(func(kvst.Item) { time.Sleep(slow) }))
		go r.Run(ctx)
		time.Sleep(2*(took+slow) - time.Millisecond)
		g.Expect(r.Revision()).To(BeEquivalentTo(7))
		g.Expect(r.Age()).To(BeNumerically(">=", 2*took+slow), "the second change isn't applied yet")
		time.Sleep(10 * time.Millisecond)
		g.Expect(r.Age()).To(BeNumerically("<=", took+slow+10*time.Millisecond))
		cancel()
		time.Sleep(time.Minute)
	})
}

// silentSource is a source of which no call gets an answer.
type silentSource struct{}

func (silentSource) List(ctx context.Context, _ string) ([]kvst.Item, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (silentSource) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (kvst.Changes, error) {
	<-ctx.Done()
	return kvst.Changes{}, ctx.Err()
}

// Guards against a change that is late while one of two sources is silent, and against one that
// both deliver and that is reported twice or out of order.
func TestSecondSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &beatingStore{changed: make(chan struct{})}
		store.write("p/a", "1", false)
		var mu sync.Mutex
		var reported []int64
		var silent bool
		first := func() SelectedSource {
			mu.Lock()
			defer mu.Unlock()
			if silent {
				return SelectedSource{Source: silentSource{}}
			}
			return SelectedSource{Source: store}
		}
		r := New(store, "p/", logs.New(io.Discard), WithSourceSelector(first),
			WithSecondSource(func() (SelectedSource, bool) { return SelectedSource{Source: store, Name: "peer"}, true }),
			WithOnChange(func(it kvst.Item) { reported = append(reported, it.Revision) }))
		go r.Run(ctx)
		time.Sleep(time.Second)
		for n := range 20 {
			mu.Lock()
			silent = n >= 10
			mu.Unlock()
			store.write("p/a", fmt.Sprint(n), false)
			time.Sleep(300 * time.Millisecond)
			g.Expect(reported).To(HaveLen(n + 1))
			g.Expect(reported[n]).To(BeEquivalentTo(n + 2))
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a lost source that counts as an outage of the store, and against an outage that is
// missed: only in an outage can endpoints have lost their leases, and be about to come back.
func TestOnlyOutagesAreNoticed(t *testing.T) {
	for lost, outages := range map[time.Duration]int{2 * time.Second: 0, 4 * time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			store, noticed := &idleStore{}, 0
			r := New(store, "p/", logs.New(io.Discard), WithOnOutage(3*time.Second, func() { noticed++ }),
				WithSourceSelector(func() SelectedSource { return SelectedSource{Source: store, Wait: 100 * time.Millisecond} }))
			go r.Run(ctx)
			time.Sleep(5 * time.Second)
			store.hangs = true
			time.Sleep(lost)
			store.hangs = false
			time.Sleep(5 * time.Second)
			g.Expect(noticed).To(Equal(outages), "lost for %s", lost)
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
