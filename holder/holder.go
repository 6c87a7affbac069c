// Package holder is the job of one pool in the hands of the entry that holds its
// lease: the delivery of all its subscriptions, the starts of its rollouts and
// its weight roll-outs.
//
// One holder does all three, so that the choice between trainers, and between
// work and new weights, is made in one place without a message.
package holder

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
	// CauseTakingOver says that this entry holds the job and has not read the
	// subscription's ledger yet.
	CauseTakingOver = "takingOver"
	// CauseHandedOn says that this entry no longer holds the job.
	CauseHandedOn = "handedOn"
	// takingOverRetry is how long that takes when the service answers.
	takingOverRetry = time.Second

	// saveEvery is how often unrecorded deliveries are tried again, which is what
	// ends an outage; openEvery how often a missing subscription is.
	saveEvery = 2 * time.Second
	openEvery = time.Second
)

type (
	// Holder runs one pool's job. See New and Run.
	Holder struct {
		name  string
		fence int64
		conf  *confs.Cache
		open  func(ctx context.Context, name string, config func() subscr.Subscription) (*feed.Feed, error)
		log   *log.Logger

		mu    sync.Mutex
		feeds map[string]*feed.Feed
		// opening says why a subscription is not open yet.
		opening map[string]error
	}

	// Option changes a Holder as New makes it.
	Option func(*Holder)

	// runner is the maker or the roll-outs of the pool.
	runner interface {
		Run(ctx context.Context)
	}
)

// New returns the job of the named pool under a fencing number. Open takes over
// a subscription, such as a closure over feed.Open.
//
//	h := holder.New("tutor", fence, conf, open)
//	h.Run(ctx, maker, swaps)
func New(
	name string, fence int64, conf *confs.Cache,
	open func(ctx context.Context, name string, config func() subscr.Subscription) (*feed.Feed, error), opts ...Option,
) *Holder {
	h := &Holder{
		name:    name,
		fence:   fence,
		conf:    conf,
		open:    open,
		log:     log.New(io.Discard),
		feeds:   map[string]*feed.Feed{},
		opening: map[string]error{},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// WithLog sets where the job is logged. The default is nowhere.
func WithLog(l *log.Logger) Option {
	return func(h *Holder) { h.log = l }
}

// Fence returns the job's fencing number.
func (h *Holder) Fence() int64 {
	return h.fence
}

// Pool returns the pool's settings.
func (h *Holder) Pool() (pool.Pool, bool) {
	return h.conf.Pool(h.name)
}

// Feeds returns the open subscriptions by name.
func (h *Holder) Feeds() []*feed.Feed {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*feed.Feed, 0, len(h.feeds))
	for _, f := range h.feeds {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *feed.Feed) int { return strings.Compare(a.Name(), b.Name()) })
	return out
}

// Feed returns one open subscription. Its error is a *fault.NotRunError when the
// subscription is about to open, and a *fault.NotFoundError when there is none.
func (h *Holder) Feed(name string) (*feed.Feed, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.feeds[name]; f != nil {
		return f, nil
	}
	if sub, found := h.conf.Subscription(name); !found || sub.Pool != h.name {
		return nil, &fault.NotFoundError{What: "subscription " + name}
	}
	reason := "the holder has just taken over"
	if err := h.opening[name]; err != nil {
		reason = "the holder could not take over yet: " + err.Error()
	}
	return nil, &fault.NotRunError{Cause: CauseTakingOver, Reason: reason, RetryAfter: takingOverRetry}
}

// Want returns the version that each model is to run: the newest that a trainer
// of it has published.
func (h *Holder) Want() map[string]int64 {
	want := map[string]int64{}
	for _, f := range h.Feeds() {
		want[f.Model()] = max(want[f.Model()], f.Published())
	}
	return want
}

// Run does the job until ctx ends or a subscription shows that a later holder
// has taken over, and returns why.
func (h *Holder) Run(ctx context.Context, runners ...runner) error {
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
	open := time.NewTicker(openEvery)
	defer open.Stop()
	save := time.NewTicker(saveEvery)
	defer save.Stop()
	for {
		h.openMissing(ctx)
		select {
		case <-ctx.Done():
			h.close()
			return h.finish()
		case <-h.conf.Changed():
		case <-open.C:
		case <-save.C:
			if err := h.save(ctx); err != nil {
				return err
			}
		}
	}
}

// openMissing opens new subscriptions and drops deleted ones.
func (h *Holder) openMissing(ctx context.Context) {
	wanted := map[string]bool{}
	for name, sub := range h.conf.Subscriptions() {
		if sub.Pool == h.name {
			wanted[name] = true
		}
	}
	h.mu.Lock()
	for name, f := range h.feeds {
		if !wanted[name] {
			f.Close(&fault.NotFoundError{What: "subscription " + name})
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
		h.openOne(ctx, name)
	}
}

func (h *Holder) openOne(ctx context.Context, name string) {
	f, err := h.open(ctx, name, func() subscr.Subscription {
		sub, _ := h.conf.Subscription(name)
		return sub
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.opening[name] = err
		h.log.Warn("subscription could not be taken over", "subscription", name, "fence", h.fence, "err", err)
		return
	}
	delete(h.opening, name)
	h.feeds[name] = f
	h.log.Info("subscription taken over", "subscription", name, "fence", h.fence)
}

// save records what an outage has left unrecorded.
func (h *Holder) save(ctx context.Context) error {
	for _, f := range h.Feeds() {
		err := f.Save(ctx)
		var down *fault.UnavailableError
		if err != nil && !errors.As(err, &down) {
			return err
		}
	}
	return nil
}

// close sends the trainers that wait here to the next holder.
func (h *Holder) close() {
	for _, f := range h.Feeds() {
		f.Close(&fault.NotRunError{
			Cause:      CauseHandedOn,
			Reason:     "this entry no longer holds the pool's job",
			RetryAfter: takingOverRetry,
		})
	}
}

// finish records what is left, since this entry stops and its successor reads.
func (h *Holder) finish() error {
	ctx, cancel := context.WithTimeout(context.Background(), saveEvery)
	defer cancel()
	return h.save(ctx)
}
