package kvpeer

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

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/mesh"
)

const (
	// callTimeout is the timeout of the store's client, and directMargin its margin for watches.
	callTimeout  = 800 * time.Millisecond
	directMargin = 700 * time.Millisecond
)

// silentStore is a store that does not answer calls until restoredAt; a call that was
// sent before never gets an answer.
type silentStore struct {
	kvst.Store
	restoredAt time.Time

	mu      sync.Mutex
	commits int
}

func (s *silentStore) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (kvst.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+directMargin)
	defer cancel()
	<-ctx.Done()
	return kvst.Changes{}, &kvst.UnknownOutcomeError{Cause: ctx.Err()}
}

func (s *silentStore) Commit(ctx context.Context, _ kvst.Txn) (int64, error) {
	if time.Now().Before(s.restoredAt) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		return 0, &kvst.UnknownOutcomeError{Cause: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	return int64(s.commits), nil
}

// The store does not respond for two and a half seconds, while results wait to be
// written. When it is back, one of the writes is answered; the others were sent a moment
// before and would wait for their whole timeout. If their owner is killed half a second
// later, the results are lost, and trainers wait for seconds until the work is done
// again.
func TestStuckCallsGoAgainWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		direct := &silentStore{restoredAt: time.Now().Add(2500 * time.Millisecond)}
		s := New(direct, nil, logs.New(io.Discard), func() []mesh.Node { return nil })
		var wg sync.WaitGroup
		for n := range 6 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 130 * time.Millisecond)
				for {
					_, err := s.Commit(t.Context(), kvst.Txn{})
					var unknown *kvst.UnknownOutcomeError
					if !errors.As(err, &unknown) {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				g.Expect(time.Since(direct.restoredAt)).To(BeNumerically("<", 200*time.Millisecond))
			})
		}
		wg.Wait()
		g.Expect(direct.commits).To(Equal(6))
	})
}

// hangingPeers is a network in which no call is answered before its caller gives up.
type hangingPeers struct{}

func (hangingPeers) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Guards against a watch that holds up changes for the sum of two whole waits and more: the store doesn't
// answer it, and neither does the peer to which it is passed on. The instance must be able to ask
// elsewhere within the three seconds in which it has to be current again.
func TestLostWatchAtASilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, limit = time.Second, 3 * time.Second
		g := NewWithT(t)
		peers := []mesh.Node{{Name: "a", Addr: "10.0.0.1:1"}, {Name: "b", Addr: "10.0.0.2:1"}}
		s := New(&silentStore{}, &http.Client{Transport: hangingPeers{}}, logs.New(io.Discard), func() []mesh.Node { return peers })
		start := time.Now()
		_, err := s.Watch(t.Context(), "p/", 1, wait)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("<", limit))
	})
}
