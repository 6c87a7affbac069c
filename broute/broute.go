// Package broute serves batch requests at any instance: it routes each request to the
// instance that owns the batch, and takes over batches whose owner is lost.
package broute

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/assign"
	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/brun"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/reads"
	"github.com/lavendermux/lavendermux/replog"
)

const (
	// PeerPath is the HTTP path of peers' requests about batches owned here.
	PeerPath = "/lavendermux.Batches/Ask"

	opRead  = "read"
	opBody  = "body"
	opEnd   = "end"
	opOffer = "offer"

	// askTimeout bounds a request to a peer, in addition to the wait that it asks for.
	askTimeout = 1200 * time.Millisecond
	// maxPageAge is how old a page that says that there are no more results may be: those that were read
	// elsewhere must be in each list a second later.
	maxPageAge = 900 * time.Millisecond
	// minOwnerCPU is the share of a processor that an owner needs: two steps of a hundred
	// streams take 0.05 of one on average and 0.15 at their start.
	minOwnerCPU = 0.2
	// offerTimeout bounds how long a peer may take to take over offered batches.
	offerTimeout = 2 * time.Second
	// takeoverRetryPause is the delay before a failed takeover is retried.
	takeoverRetryPause = 300 * time.Millisecond
	// unsealedRetryPause is the delay before a takeover is retried that reached too few replicas.
	unsealedRetryPause = time.Second
	// unsealedCacheTime is how long requests are answered by the result of such a takeover. It
	// is less than unsealedRetryPause, so that each retry is a new one.
	unsealedCacheTime = unsealedRetryPause / 2
	// successorCount is the number of instances that see to it that a batch of a lost owner gets
	// another one. Each of them looks successorDelay later than the one before: a takeover takes
	// some 50 ms, and the peers know of it after two probes.
	successorCount = 4
	successorDelay = time.Second
)

type (
	// Router routes batch requests to the owners of batches. See New.
	Router struct {
		self   string
		store  *bstore.Store
		runner *brun.Runner
		mesh   *mesh.Mesh
		logger *log.Logger
		// baseCtx ends with the process: accepted work continues after the request that
		// started it has ended.
		baseCtx context.Context
		// stopping is set once this instance accepts no new batches.
		stopping     atomic.Bool
		isCPUStarved func() bool
		replicas     *replog.Log

		mu sync.Mutex
		// headCache has the heads read from the store, so that not every read looks up the
		// owner there.
		headCache map[string]bstore.Record
		// takeovers has the takeovers under way, by batch, and for unsealedCacheTime those that
		// reached too few replicas.
		takeovers map[string]*takeover
		// watched has the batches for which this instance makes sure that they have an owner, with
		// the record of those that it couldn't take over without replicas.
		watched map[string]bstore.Record
		// acceptors has this instance's acceptors, acquisitions the acquires under way, and
		// seenGrants the latest known epochs of intake records, all by model.
		acceptors    map[string]*acceptor
		acquisitions map[string]*acquisition
		seenGrants   map[string]int64

		// storeFailedAt is the time of the last failed call to the store on behalf of a
		// submission, zero if it has answered since.
		storeFailedAt time.Time

		isStoreDown func() bool
		// listing is set until the intake records are known after the start.
		listing atomic.Bool
		// isServed reports whether the manifest names a model.
		isServed func(model string) bool
		meter    *meter.Meter
		pages    *reads.Tracker
		knownTTL time.Duration
	}

	// Option configures a Router in New.
	Option func(*Router)

	// takeover is one attempt; done is closed once it has ended with err, and removed once
	// another one may begin.
	takeover struct {
		done    chan struct{}
		removed chan struct{}
		err     error
	}

	// BatchRef names a batch and the customer that asks for it.
	BatchRef struct {
		ID string
		// Customer is the customer that asks; "" if customers have no keys.
		Customer string
	}

	// IDConflictError means that another customer has a batch with this ID.
	IDConflictError struct {
		ID string
	}

	// NotFoundError means that no such batch is stored.
	NotFoundError struct {
		ID string
	}

	askRequest struct {
		Op       string `json:"op"`
		ID       string `json:"id"`
		Customer string `json:"customer,omitempty"`

		IDs  []string `json:"ids,omitempty"`
		Item string   `json:"item,omitempty"`
		// OnlyTracked has the receiver answer without asking the store.
		OnlyTracked bool `json:"onlyTracked,omitempty"`
		// Relay is the owner to which the receiver is to pass the request on, "" if none.
		Relay string `json:"relay,omitempty"`
		// From is the owner of the offered batches.
		From  string `json:"from,omitempty"`
		After int    `json:"after,omitempty"`
		Limit int    `json:"limit,omitempty"`
		Wait  int64  `json:"waitMs,omitempty"`
	}

	askResponse struct {
		Owned  bool `json:"held"`
		NoItem bool `json:"noItem,omitempty"`
		// Unsealed is set if the receiver is the owner by the batch's record, and can't continue
		// the batch since it reaches too few replicas. An instance that reaches them may take
		// the batch over.
		Unsealed bool `json:"unsealed,omitempty"`
		// Unconfirmed is why the receiver can't tell whether it still owns the batch; "" if it can. It
		// is the message of an error with connect.CodeAborted.
		Unconfirmed string `json:"-"`
		// OtherCustomer is set if the batch belongs to another customer.
		OtherCustomer bool      `json:"foreign,omitempty"`
		Page          brun.Page `json:"page"`
		// HeldMs is how long the receiver had the request, in milliseconds.
		HeldMs int64  `json:"heldMs,omitempty"`
		Body   []byte `json:"body,omitempty"`
		// Taken has the epochs of the offered batches that were taken over, by ID.
		Taken map[string]int64 `json:"taken,omitempty"`

		// transit is how long request and response were on their way at most.
		transit time.Duration
	}
)

// Error names the batch.
func (e *NotFoundError) Error() string { return "no batch " + e.ID }

// Error names the batch.
func (e *IDConflictError) Error() string { return "another customer has a batch " + e.ID }

// New returns a Router. baseCtx ends with the process; isCPUStarved reports whether it is
// short of processor time.
//
//	d := broute.New(ctx, store, runner, m, replicas, logger, isCPUStarved)
//	err := d.Submit(ctx, sub)
func New(baseCtx context.Context, store *bstore.Store, runner *brun.Runner, m *mesh.Mesh, replicas *replog.Log, logger *log.Logger, isCPUStarved func() bool, opts ...Option) *Router {
	d := &Router{
		isCPUStarved: isCPUStarved,
		replicas:     replicas,
		self:         m.Self().Holder(),
		store:        store,
		runner:       runner,
		mesh:         m,
		logger:       logger,
		baseCtx:      baseCtx,
		headCache:    make(map[string]bstore.Record),
		takeovers:    make(map[string]*takeover),
		watched:      make(map[string]bstore.Record),
		acceptors:    make(map[string]*acceptor),
		acquisitions: make(map[string]*acquisition),
		seenGrants:   make(map[string]int64),
		isStoreDown:  func() bool { return false },
		isServed:     func(string) bool { return true },
		meter:        meter.New(),
		knownTTL:     defaultRetention + expiryMargin,
	}
	d.listing.Store(m.Self().Accepts) // RunIntake lists them
	for _, opt := range opts {
		opt(d)
	}
	d.pages = reads.New(logger, d.meter)
	return d
}

// WithStoreDown sets f, which reports whether the store is known to be unavailable. By default
// it is found out by calls only.
func WithStoreDown(f func() bool) Option {
	return func(d *Router) { d.isStoreDown = f }
}

// WithServedModels sets f, which reports whether the manifest names a model. Only such models get
// an acceptor: others are any text that a caller sends. By default all models do.
func WithServedModels(f func(model string) bool) Option {
	return func(d *Router) { d.isServed = f }
}

// WithRetention sets how long ended batches stay in the store. The default is 2 minutes.
func WithRetention(d time.Duration) Option {
	return func(r *Router) {
		if d > 0 {
			r.knownTTL = d + expiryMargin
		}
	}
}

// WithMeter sets the meter that counts submissions. By default the counts are discarded.
func WithMeter(m *meter.Meter) Option {
	return func(d *Router) { d.meter = m }
}

// Submit accepts a batch. If it returns nil, the batch is stored, or on enough replicas
// while the store is unavailable. After a *kvst.RefusedError, a *RefusedError, a
// *bstore.SizeError or a *IDConflictError it isn't, and doesn't run; after any other error it
// may be.
func (d *Router) Submit(ctx context.Context, sub *batch.Submission) error {
	if customer, ok := d.runner.CustomerOf(sub.ID); ok {
		return checkCustomer(sub, customer)
	}
	outcome, err := d.submit(ctx, sub)
	if err != nil {
		outcome = outcomeUnknown
		if IsRefusal(err) {
			outcome = outcomeRefused
		}
	}
	d.meter.Count("submissions_total", 1, "outcome", outcome)
	return err
}

// IsRefusal reports whether an error of Submit means that the submission doesn't run.
func IsRefusal(err error) bool {
	var refused *RefusedError
	var byStore *kvst.RefusedError
	var tooLarge *bstore.SizeError
	var idConflict *IDConflictError
	return errors.As(err, &refused) || errors.As(err, &byStore) || errors.As(err, &tooLarge) || errors.As(err, &idConflict)
}

// submitDirect stores a batch of a model that has no acceptor.
func (d *Router) submitDirect(ctx context.Context, sub *batch.Submission) error {
	since := time.Now()
	owner, remote := d.ownerForNew(sub)
	rec, created, err := d.store.Create(ctx, sub, owner.Holder(), d.replicas.Choose(sub.ID, nil), since)
	if err != nil {
		return err
	}
	if err := checkCustomer(sub, rec.Customer); err != nil {
		return err
	}
	d.cacheHead(rec)
	if created && remote {
		go func() {
			if d.offer(d.baseCtx, owner, []string{sub.ID}, owner.Holder()) == 0 {
				d.watch(sub.ID, rec.Epoch, successorDelay)
			}
		}()
		return nil
	}
	if created {
		d.runner.Add(d.baseCtx, rec, sub, nil, nil)
		return nil
	}
	go func() { _ = d.ensureOwned(sub.ID) }() // logged
	return nil
}

// checkCustomer refuses a batch whose ID belongs to another customer: it can't be stored
// under that ID, and reporting success would lose it.
func checkCustomer(sub *batch.Submission, customer string) error {
	if customer != sub.Customer {
		return &IDConflictError{ID: sub.ID}
	}
	return nil
}

// ownerForNew returns the instance that should own a new batch: the entry that owns the
// others of its model, if that can be reached, and this one otherwise.
func (d *Router) ownerForNew(sub *batch.Submission) (n mesh.Node, remote bool) {
	entries := d.mesh.TakeoverCandidates()
	maps.DeleteFunc(entries, func(n mesh.Node, _ int) bool { return !n.Plans })
	if !d.stopping.Load() && !d.isCPUStarved() {
		entries[d.mesh.Self()] = len(d.runner.Holding())
	}
	n, ok := assign.Preferred(sub.Model, sub.ID, entries)
	if !ok {
		return d.ownerFor(sub.ID)
	}
	return n, n != d.mesh.Self()
}

// ownerFor returns the instance that should own a batch: this one, or a peer if this one is
// about to stop, short of processor time, or too small.
func (d *Router) ownerFor(id string) (n mesh.Node, remote bool) {
	self := d.mesh.Self()
	if !d.stopping.Load() && !d.isCPUStarved() && self.Power >= minOwnerCPU {
		return self, false
	}
	n, ok := assign.LeastLoaded(id, d.mesh.TakeoverCandidates())
	if !ok || (!d.stopping.Load() && !d.isCPUStarved() && n.Power <= self.Power) {
		return self, false
	}
	return n, true
}

// ShedLoad offers the batches owned here to peers while this instance is short of processor
// time.
func (d *Router) ShedLoad(ctx context.Context) { d.offerAll(ctx) }

// ensureOwned makes sure that a batch has a live owner, and takes it over if it has none. It
// asks for results that don't exist: an instance that was replaced would answer all else.
func (d *Router) ensureOwned(id string) error {
	ctx, cancel := context.WithTimeout(d.baseCtx, askTimeout)
	defer cancel()
	_, err := d.ask(ctx, askRequest{Op: opRead, ID: id, After: math.MaxInt32, Limit: 1})
	if err != nil {
		d.logger.Warn("Batch owner not found.", "batch", id, "error", err)
	}
	return err
}

// HandOver offers the open batches owned here to peers before a planned stop, and places
// new ones on peers from now on.
func (d *Router) HandOver(ctx context.Context) {
	d.stopping.Store(true)
	d.offerAll(ctx)
}

func (d *Router) offerAll(ctx context.Context) {
	offers := make(map[mesh.Node][]string)
	for id := range d.runner.Holding() {
		if peer, ok := d.ownerFor(id); ok {
			offers[peer] = append(offers[peer], id)
		}
	}
	for peer, ids := range offers {
		d.offer(ctx, peer, ids, d.self)
	}
}

// offer asks a peer to take over batches from the named owner, and returns how many it took.
func (d *Router) offer(ctx context.Context, peer mesh.Node, ids []string, from string) (taken int) {
	res, err := d.askPeer(ctx, peer, askRequest{Op: opOffer, IDs: ids, From: from, Wait: offerTimeout.Milliseconds()})
	if err != nil {
		d.logger.Warn("Offering batches to a peer failed.", "peer", peer.Name, "batches", ids, "error", err)
		return 0
	}
	d.logger.Info("Batches handed over.", "peer", peer.Name, "batches", ids, "taken", len(res.Taken))
	d.runner.DropFenced(peer.Name, res.Taken)
	return len(res.Taken)
}

// Read returns the results from position after on, at most limit bytes but at least one
// result. It waits up to wait for the first.
func (d *Router) Read(ctx context.Context, q BatchRef, after, limit int, wait time.Duration) (brun.Page, error) {
	done := d.pages.Start(q.ID, q.Customer, after)
	res, err := d.askAsCustomer(ctx, q, askRequest{Op: opRead, After: after, Limit: limit, Wait: wait.Milliseconds()})
	if err != nil {
		return brun.Page{}, err
	}
	switch p := res.Page; {
	case res.Unconfirmed != "":
		return brun.Page{}, &brun.UnconfirmedError{ID: q.ID, Cause: errors.New(res.Unconfirmed)}
	case len(p.Results) == 0 && !p.Final && time.Duration(p.ConfirmedMs)*time.Millisecond+res.transit > maxPageAge:
		return brun.Page{}, &brun.UnconfirmedError{ID: q.ID, Cause: errors.Newf("the answer of %s took %v", p.Source, res.transit)}
	}
	done(res.Page)
	return res.Page, nil
}

// Body returns the request body of an item.
func (d *Router) Body(ctx context.Context, q BatchRef, item string) ([]byte, error) {
	res, err := d.askAsCustomer(ctx, q, askRequest{Op: opBody, Item: item})
	if err != nil {
		return nil, err
	}
	if res.NoItem {
		return nil, &brun.ItemNotFoundError{ID: q.ID, Item: item}
	}
	return res.Body, nil
}

// End ends a batch.
func (d *Router) End(ctx context.Context, q BatchRef) error {
	_, err := d.askAsCustomer(ctx, q, askRequest{Op: opEnd})
	return err
}

// askAsCustomer asks on behalf of a customer. A batch of another customer is reported as not
// found.
func (d *Router) askAsCustomer(ctx context.Context, q BatchRef, req askRequest) (*askResponse, error) {
	req.ID, req.Customer = q.ID, q.Customer
	res, err := d.ask(ctx, req)
	if err == nil && res.OtherCustomer {
		return nil, &NotFoundError{ID: q.ID}
	}
	return res, err
}
