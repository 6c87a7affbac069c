// Package pctrl runs the job of one pool on the entry that holds the job's lease: the
// delivery of samples to all its subscriptions, the scheduling of attempts, and the
// rollouts of weights.
//
// One instance does all three, so that it can decide between trainers, and between work
// and new weights, without coordination.
package pctrl

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/feed"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/subscr"
)

const (
	// CauseTakingOver means that this entry holds the job but has not read the
	// subscription's ledger yet.
	CauseTakingOver = "takingOver"
	// CauseLeaseLost means that this entry no longer holds the job.
	CauseLeaseLost = "handedOn"
	// takeOverRetry is the usual time to take over if the metadata store is available.
	takeOverRetry = time.Second

	// saveInterval is the interval at which unrecorded deliveries are saved, which restores
	// the record after an outage; openInterval is the interval at which opening a
	// subscription is retried.
	saveInterval = 2 * time.Second
	openInterval = time.Second
)

type (
	// Controller runs the job of one pool. See New and Run.
	Controller struct {
		name  string
		fence int64
		conf  *confs.Cache
		open  func(ctx context.Context, name string, config func() subscr.Subscription) (*feed.Feed, error)
		log   *log.Logger

		mu    sync.Mutex
		feeds map[string]*feed.Feed
		// openErrors holds the last error of each subscription that could not be opened.
		openErrors map[string]error
	}

	// Option configures a Controller.
	Option func(*Controller)

	// runner is a component of the job, such as the one that runs attempts.
	runner interface {
		Run(ctx context.Context)
	}
)

// New returns the job of the named pool under a fencing token. The function open takes
// over a subscription, for example by calling feed.Open.
//
//	h := pctrl.New("tutor", fence, conf, open)
//	h.Run(ctx, runner, rollouts)
func New(
	name string, fence int64, conf *confs.Cache,
	open func(ctx context.Context, name string, config func() subscr.Subscription) (*feed.Feed, error), opts ...Option,
) *Controller {
	h := &Controller{
		name:       name,
		fence:      fence,
		conf:       conf,
		open:       open,
		log:        log.New(io.Discard),
		feeds:      map[string]*feed.Feed{},
		openErrors: map[string]error{},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(h *Controller) { h.log = l }
}

// Fence returns the job's fencing token.
func (h *Controller) Fence() int64 {
	return h.fence
}

// Pool returns the pool's settings.
func (h *Controller) Pool() (pool.Pool, bool) {
	return h.conf.Pool(h.name)
}

// Feeds returns the open subscriptions, sorted by name.
func (h *Controller) Feeds() []*feed.Feed {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*feed.Feed, 0, len(h.feeds))
	for _, f := range h.feeds {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *feed.Feed) int { return strings.Compare(a.Name(), b.Name()) })
	return out
}

// Feed returns an open subscription. Its error is a *fault.NotRunError if the
// subscription is not open yet, and a *fault.NotFoundError if it does not exist.
func (h *Controller) Feed(name string) (*feed.Feed, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.feeds[name]; f != nil {
		return f, nil
	}
	if sub, found := h.conf.Subscription(name); !found || sub.Pool != h.name {
		return nil, &fault.NotFoundError{Resource: "subscription " + name}
	}
	reason := "the holder has just taken over"
	if err := h.openErrors[name]; err != nil {
		reason = "the holder could not take over yet: " + err.Error()
	}
	return nil, &fault.NotRunError{Cause: CauseTakingOver, Reason: reason, RetryAfter: takeOverRetry}
}

// TargetVersions returns the target version of each model: the newest one published by any of its
// trainers.
func (h *Controller) TargetVersions() map[string]int64 {
	targets := map[string]int64{}
	for _, f := range h.Feeds() {
		targets[f.Model()] = max(targets[f.Model()], f.Published())
	}
	return targets
}

// Run runs the job until ctx is done or saving fails, usually because a later holder has
// taken over a subscription. It returns the error of saving.
func (h *Controller) Run(ctx context.Context, runners ...runner) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range runners {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.Run(ctx)
		}()
	}
	defer wg.Wait()
	defer cancel()
	defer h.close()
	open := time.NewTicker(openInterval)
	defer open.Stop()
	save := time.NewTicker(saveInterval)
	defer save.Stop()
	for {
		h.syncSubscriptions(ctx)
		select {
		case <-ctx.Done():
			h.close()
			return h.finalSave()
		case <-h.conf.Changed():
		case <-open.C:
		case <-save.C:
			if err := h.save(ctx); err != nil {
				return err
			}
		}
	}
}

// syncSubscriptions opens new subscriptions and closes deleted ones.
func (h *Controller) syncSubscriptions(ctx context.Context) {
	wanted := map[string]bool{}
	for name, sub := range h.conf.Subscriptions() {
		if sub.Pool == h.name {
			wanted[name] = true
		}
	}
	h.mu.Lock()
	for name, f := range h.feeds {
		if !wanted[name] {
			f.Close(&fault.NotFoundError{Resource: "subscription " + name})
			delete(h.feeds, name)
		}
	}
	var missing []string
	for name := range wanted {
		if h.feeds[name] == nil {
			missing = append(missing, name)
		}
	}
	h.mu.Unlock()
	for _, name := range missing {
		h.openSubscription(ctx, name)
	}
}

func (h *Controller) openSubscription(ctx context.Context, name string) {
	f, err := h.open(ctx, name, func() subscr.Subscription {
		sub, _ := h.conf.Subscription(name)
		return sub
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.openErrors[name] = err
		h.log.Warn("subscription could not be taken over", "subscription", name, "fence", h.fence, "err", err)
		return
	}
	delete(h.openErrors, name)
	h.feeds[name] = f
	h.log.Info("subscription taken over", "subscription", name, "fence", h.fence)
}

// save saves what could not be recorded during an outage of the metadata store.
func (h *Controller) save(ctx context.Context) error {
	for _, f := range h.Feeds() {
		err := f.Save(ctx)
		var down *fault.UnavailableError
		if err != nil && !errors.As(err, &down) {
			return err
		}
	}
	return nil
}

// close ends waiting pulls with an error that makes trainers retry at the next holder.
func (h *Controller) close() {
	for _, f := range h.Feeds() {
		f.Close(&fault.NotRunError{
			Cause:      CauseLeaseLost,
			Reason:     "this entry no longer holds the pool's job",
			RetryAfter: takeOverRetry,
		})
	}
}

// finalSave saves unrecorded state before this entry stops, so that its successor reads it.
func (h *Controller) finalSave() error {
	ctx, cancel := context.WithTimeout(context.Background(), saveInterval)
	defer cancel()
	return h.save(ctx)
}
