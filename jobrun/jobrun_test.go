package jobrun

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/lease"
	"github.com/lavendermux/lavendermux/record"
	. "github.com/onsi/gomega"
)

// stopping is how long a job takes to stop.
const stopping = 3 * time.Second

// world is a key-value service with one job's lease, and what happened in order.
type world struct {
	mu     sync.Mutex
	events []string
	held   record.Record
	serial int64
	lapsed bool
	wanted []string
}

func (w *world) note(event string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event)
}

func (w *world) Get(context.Context, string) (record.Record, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held.Lease == 0 {
		return record.Record{}, &fault.NotFoundError{What: "job"}
	}
	return w.held, nil
}

func (w *world) Put(_ context.Context, key string, value []byte, _, id int64) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held.Lease != 0 {
		return 0, &fault.ConflictError{Key: key}
	}
	w.serial++
	w.held = record.Record{Key: key, Value: value, Revision: w.serial, Created: w.serial, Lease: id}
	return w.serial, nil
}

func (w *world) Grant(context.Context, time.Duration) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	return w.serial, nil
}

func (w *world) Renew(_ context.Context, id int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lapsed {
		w.lapsed = false
		w.held = record.Record{}
		return &fault.LeaseLapsedError{Lease: id}
	}
	return nil
}

func (w *world) Revoke(context.Context, int64) error {
	w.note("handed back")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = record.Record{}
	return nil
}

func (w *world) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wanted
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func newRunner(w *world) *Runner {
	keeper := func(job string, change func()) *lease.Keeper {
		return lease.New(w, job, "entry-1", lease.WithChange(change), lease.WithSeed(1))
	}
	return New(w.names, keeper, func(ctx context.Context, _ string, fence int64) {
		w.note("began " + strconv.FormatInt(fence, 10))
		<-ctx.Done()
		time.Sleep(stopping)
		w.note("stopped " + strconv.FormatInt(fence, 10))
	})
}

// An entry is taken out of service, or a pool is removed. Its job is stopped
// before the lease is handed back: a successor that started beside it would give
// the same workers other orders.
func TestJobStopsBeforeItsLeaseIsHandedBack(t *testing.T) {
	for _, unwanted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := &world{wanted: []string{"pool/drafts"}}
			r := newRunner(w)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			ended := make(chan struct{})
			go func() {
				r.Run(ctx)
				close(ended)
			}()
			time.Sleep(time.Minute)
			g.Expect(r.Held()).To(ConsistOf(HaveField("Fence", int64(2))))
			if unwanted {
				w.set(func() { w.wanted = nil })
				time.Sleep(time.Minute)
				g.Expect(r.Held()).To(BeEmpty())
			}
			stop()
			<-ended
			g.Expect(w.events).To(Equal([]string{"began 2", "stopped 2", "handed back"}))
		})
	}
}

// A lease lapses and is won anew under a greater fencing number. The old run has
// ended before the new one begins; otherwise both would work at once.
func TestLapsedLeaseRestartsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &world{wanted: []string{"pool/drafts"}}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			newRunner(w).Run(ctx)
			close(ended)
		}()
		time.Sleep(time.Minute)
		w.set(func() { w.lapsed = true })
		time.Sleep(time.Minute)
		stop()
		<-ended
		g.Expect(w.events).To(Equal([]string{"began 2", "stopped 2", "began 4", "stopped 4", "handed back"}))
	})
}
