// Package brun runs the items of the batch submissions that this instance holds.
//
// An item may run more than once, so nothing here needs to be sure that another
// holder has stopped: the record of each submission fences its results (package
// bstore), and a holder that was overtaken drops the submission at its next write.
package brun

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/place"
	"github.com/lavendermux/lavendermux/strays"
	"github.com/lavendermux/lavendermux/upstr"
	"github.com/lavendermux/lavendermux/wset"
)

const (
	// sweepEvery is how often silent runs and overdue items are looked for.
	sweepEvery = 100 * time.Millisecond
	// retryPause keeps an item that was turned away from asking again at once.
	retryPause = 60 * time.Millisecond
	// partialMost bounds the unfinished texts of ended submissions that are
	// kept for a submission that asks for the same items again.
	partialMost = 2000
)

type (
	// Runner runs submissions; safe for concurrent use. See New.
	Runner struct {
		store    *bstore.Store
		set      *wset.Set
		sender   upstr.Sender
		manifest func() *manif.Manifest
		picker   *place.Picker
		logger   *log.Logger
		version  string
		centre   string
		meter    *meter.Meter
		// retention is how long results stay readable after submission.
		retention time.Duration

		mu       sync.Mutex
		held     map[string]*held
		partials map[string]*item
		// demand is the expected tokens of the newest submission of each model.
		demand   map[string]float64
		wake     chan struct{}
		stopping bool
	}

	// Option changes a Runner as New makes it.
	Option func(*Runner)

	// Page is a part of a submission's results.
	Page struct {
		Total   int            `json:"total"`
		Next    int            `json:"next"`
		Results []batch.Result `json:"results"`
	}

	// NotHeldError says that this instance does not hold a submission.
	NotHeldError struct {
		ID string
	}

	// NoItemError says that a submission has no such item.
	NoItemError struct {
		ID   string
		Item string
	}
)

// Error names the submission.
func (e *NotHeldError) Error() string { return "batch " + e.ID + " is not held here" }

// Error names the submission and the item.
func (e *NoItemError) Error() string { return "batch " + e.ID + " has no item " + e.Item }

// New returns a runner; Run makes it work.
//
//	r := brun.New(store, set, sender, manifest, logger)
//	go r.Run(ctx)
func New(store *bstore.Store, set *wset.Set, sender upstr.Sender, manifest func() *manif.Manifest, logger *log.Logger, opts ...Option) *Runner {
	r := &Runner{
		store:    store,
		set:      set,
		sender:   sender,
		manifest: manifest,
		picker:   place.New(),
		logger:   logger,
		held:     make(map[string]*held),
		partials: make(map[string]*item),
		demand:   make(map[string]float64),
		wake:     make(chan struct{}, 1),
		meter:    meter.New(),

		retention: defaultRetention,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithVersionLine names the line of a stream that tells the weight version. The
// default reads none.
func WithVersionLine(name string) Option {
	return func(r *Runner) { r.version = name }
}

// WithDataCentre prefers endpoints of the data centre. The default prefers none.
func WithDataCentre(name string) Option {
	return func(r *Runner) { r.centre = name }
}

// WithMeter sets where runs are counted. The default counts for nobody.
func WithMeter(m *meter.Meter) Option {
	return func(r *Runner) { r.meter = m }
}

// Wake makes the runner look for work that can start.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run starts items until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if expired := r.sweep(now); len(expired) > 0 {
				go r.remove(ctx, expired)
			}
		case <-r.wake:
		}
		r.schedule(ctx, time.Now())
	}
}

// Add begins to hold a submission with the results that it has so far and the
// text of items that ran under an earlier holder.
func (r *Runner) Add(ctx context.Context, kept bstore.Kept, sub *batch.Submission, results []batch.Result, progress []batch.Progress) {
	h := newHeld(kept, sub, results)
	for _, p := range progress {
		h.resume(p)
	}
	r.mu.Lock()
	if _, ok := r.held[sub.ID]; ok || r.stopping {
		r.mu.Unlock()
		return
	}
	r.held[sub.ID] = h
	resumed := 0
	if !kept.Ended {
		// Nothing may be added to an ended submission: others answer for it too,
		// from the record, and a position would come and go.
		r.demand[sub.Model] = h.tokens()
		resumed = r.takePartials(h)
	}
	r.mu.Unlock()
	r.logger.Info("Batch held.", "batch", sub.ID, "epoch", kept.Epoch, "items", len(sub.Items),
		"results", len(results), "progress", len(progress), "resumed", resumed, "minVersion", sub.MinVersion, "model", sub.Model)
	if !kept.Ended {
		go r.flush(ctx, h)
		r.Wake()
	}
}

// takePartials hands texts that an earlier submission left unfinished to the
// items that come again, and returns how many fit.
func (r *Runner) takePartials(h *held) int {
	route, ok := r.route(h.sub)
	n := 0
	for _, it := range h.items {
		old, found := r.partials[it.ID]
		if !found || it.done {
			continue
		}
		delete(r.partials, it.ID)
		if !ok || !fits(old, h.sub, route) || !slices.Equal(old.Body, it.Body) {
			continue
		}
		it.texts, it.last, it.versions = old.texts, old.last, old.versions
		n++
		if old.whole {
			h.finish(it, batch.Completed)
		}
	}
	return n
}

// fits reports whether a stored text may be used for a submission.
func fits(it *item, sub *batch.Submission, route *manif.Route) bool {
	if len(it.versions) > 0 && it.versions[0] < sub.MinVersion {
		return false
	}
	return !route.SingleVersion || len(it.versions) <= 1
}

func (r *Runner) route(sub *batch.Submission) (*manif.Route, bool) {
	m := r.manifest()
	if m == nil {
		return nil, false
	}
	return m.Match(sub.Host, sub.Target)
}

// Stop starts no more items and keeps what the running ones have so far; they go
// on until another instance has taken their submissions over.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	r.stopping = true
	var saves []chan struct{}
	for _, h := range r.held {
		if !h.ended {
			saves = append(saves, h.saveAll())
		}
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stopSave)
	defer cancel()
	for _, saved := range saves {
		select {
		case <-saved:
		case <-ctx.Done():
			return
		}
	}
}

// Holding returns the submissions that are open here, each with its epoch.
func (r *Runner) Holding() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := make(map[string]int64)
	for id, h := range r.held {
		if !h.ended {
			open[id] = h.kept.Epoch
		}
	}
	return open
}

// Overtaken drops the submissions that another instance holds at a later epoch.
// An instance that has nothing to write would otherwise not notice, and go on to
// answer with the results of its own time.
func (r *Runner) Overtaken(by string, holding map[string]int64) {
	var lost []string
	r.mu.Lock()
	for id, epoch := range holding {
		if h, ok := r.held[id]; ok && h.kept.Epoch < epoch {
			lost = append(lost, id)
		}
	}
	r.mu.Unlock()
	for _, id := range lost {
		r.Drop(id, "held by "+by)
	}
}

// Demand returns the expected tokens of the newest submission of each model that
// was held here.
func (r *Runner) Demand() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.demand)
}

// Holds reports whether the submission is held here, open or ended.
func (r *Runner) Holds(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.held[id]
	return ok
}

// Read returns the results from position after on, at most limit bytes but one
// result at least. It waits up to wait for the first.
func (r *Runner) Read(ctx context.Context, id string, after, limit int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		h, ok := r.held[id]
		if !ok {
			r.mu.Unlock()
			return Page{}, &NotHeldError{ID: id}
		}
		page, changed := h.page(after, limit), h.changed
		over := h.ended || len(h.results) == len(h.items)
		r.mu.Unlock()
		if len(page.Results) > 0 || over {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

// Body returns the body of an item.
func (r *Runner) Body(id, itemID string) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.held[id]
	if !ok {
		return nil, &NotHeldError{ID: id}
	}
	it, ok := h.byID[itemID]
	if !ok {
		return nil, &NoItemError{ID: id, Item: itemID}
	}
	return it.Body, nil
}

// End stops the items of a submission at once and returns when its end is kept.
func (r *Runner) End(ctx context.Context, id string) error {
	r.mu.Lock()
	h, ok := r.held[id]
	if !ok {
		r.mu.Unlock()
		return &NotHeldError{ID: id}
	}
	if !h.ended {
		h.ended = true
		r.stopItems(h)
		r.keepPartials(h)
		h.poke()
	}
	kept := h.endKept
	r.mu.Unlock()
	r.Wake()
	select {
	case <-kept:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) stopItems(h *held) {
	for _, it := range h.items {
		if it.cancel != nil {
			it.cancel(errEnded)
		}
	}
}

// keepPartials remembers what unfinished items have, since their groups may come
// again in a later submission.
func (r *Runner) keepPartials(h *held) {
	if len(r.partials) > partialMost {
		clear(r.partials)
	}
	for _, it := range h.items {
		if len(it.texts) > 0 {
			r.partials[it.ID] = it.copyTexts()
		}
	}
}

// Drop stops holding a submission, because another instance has it now.
func (r *Runner) Drop(id, reason string) {
	r.mu.Lock()
	h, ok := r.held[id]
	r.mu.Unlock()
	if ok {
		r.drop(h, reason)
	}
}

// drop drops h, unless it isn't held any longer: the submission may have come back
// since, at a later epoch.
func (r *Runner) drop(h *held, reason string) {
	id := h.sub.ID
	r.mu.Lock()
	ok := r.held[id] == h
	h.dropped = true
	if ok {
		delete(r.held, id)
		r.stopItems(h)
		h.poke()
		h.announce()
	}
	r.mu.Unlock()
	if ok {
		r.logger.Warn("Batch dropped.", "batch", id, "epoch", h.kept.Epoch, "cause", reason)
	}
}

// sweep ends runs that went silent and items that are overdue, and returns the
// submissions that have expired.
func (r *Runner) sweep(now time.Time) []bstore.Kept {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.ended {
			continue
		}
		route, ok := r.route(h.sub)
		age := h.kept.Age(now)
		for _, it := range h.items {
			switch {
			case it.done:
			case r.manifest() != nil && !ok:
				r.giveUp(h, it, "route removed")
			case ok && route.MaxQueue > 0 && age > route.MaxQueue:
				r.giveUp(h, it, "queue time over")
			case it.cancel != nil && now.Sub(it.heard) > r.silence(h, it):
				it.cancel(errSilent)
			case it.cancel != nil && ok && !r.stopping:
				r.moveSlow(h, it, route, now)
			}
		}
	}
	return r.expired(now)
}

// silence is how long a run may make no event.
func (r *Runner) silence(h *held, it *item) time.Duration {
	if v, ok := r.set.View(it.at); ok && v.Loading[h.sub.Model] {
		return silenceLoading
	}
	return silenceMost
}

// moveSlow breaks a run off if it is expected to end sooner elsewhere; it then
// starts again from its last event.
func (r *Runner) moveSlow(h *held, it *item, route *manif.Route, now time.Time) {
	here, ok := r.set.View(it.at)
	if !ok || now.Sub(it.started) < moveAfter {
		return
	}
	views := r.candidates(it.at.Service, h.sub, it, route)
	views = slices.DeleteFunc(views, func(v wset.View) bool { return v.ID == it.at.ID || now.Before(v.AvoidUntil) })
	cands := candidates(views, r.centre, now)
	i, ok := r.picker.Pick(cands)
	if !ok {
		return
	}
	run := strays.Run{Made: len(it.texts), Expected: r.expected(it, it.at.Service), Here: here.Pace, There: views[i].Pace}
	if run.Move() {
		r.logger.Info("Item moved.", "batch", h.sub.ID, "item", it.ID, "from", it.at.ID, "to", views[i].ID,
			"made", run.Made, "expected", run.Expected, "here", run.Here, "there", run.There)
		it.cancel(errMoved)
	}
}

// expected is the number of events that an item is expected to make.
func (r *Runner) expected(it *item, service string) int {
	m := r.manifest()
	if m == nil || m.Services[service].Stride == 0 {
		return 0
	}
	return it.Hint / m.Services[service].Stride
}

func (r *Runner) giveUp(h *held, it *item, cause string) {
	if it.cancel != nil {
		it.cancel(errEnded)
	}
	h.finish(it, batch.Errored)
	r.meter.Count("items_given_up_total", 1, "cause", cause)
	r.logger.Warn("Item given up.", "batch", h.sub.ID, "item", it.ID, "cause", cause, "attempts", it.attempts, "events", len(it.texts))
}

// schedule starts as many waiting items as endpoints have room for, the oldest
// submission first.
func (r *Runner) schedule(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	open := make([]*held, 0, len(r.held))
	for _, h := range r.held {
		if !h.ended {
			open = append(open, h)
		}
	}
	slices.SortFunc(open, func(a, b *held) int { return int(a.kept.Submitted - b.kept.Submitted) })
	for _, h := range open {
		route, ok := r.route(h.sub)
		if !ok {
			continue
		}
		r.startItems(ctx, h, route, now)
	}
}

func (r *Runner) startItems(ctx context.Context, h *held, route *manif.Route, now time.Time) {
	for _, it := range h.order {
		if it.done || it.cancel != nil || now.Before(it.notBefore) {
			continue
		}
		views := r.candidates(route.Service(it.ID), h.sub, it, route)
		i, ok := r.picker.Pick(candidates(views, r.centre, now))
		if !ok {
			return
		}
		r.start(ctx, h, it, route, views[i])
	}
}

// candidates returns the endpoints whose weights fit.
func (r *Runner) candidates(service string, sub *batch.Submission, it *item, route *manif.Route) []wset.View {
	return slices.DeleteFunc(r.set.Service(service), func(v wset.View) bool {
		version := v.Versions[sub.Model]
		if v.Loading[sub.Model] || version < sub.MinVersion {
			return true
		}
		return route.SingleVersion && len(it.versions) > 0 && it.versions[0] != version
	})
}

func candidates(views []wset.View, centre string, now time.Time) []place.Candidate {
	out := make([]place.Candidate, len(views))
	for i, v := range views {
		out[i] = place.Candidate{
			Slots:   v.Slots,
			Running: v.Running,
			Pace:    pace(v),
			Remote:  v.DataCentre != centre,
			Avoid:   now.Before(v.AvoidUntil),
		}
	}
	return out
}

func pace(v wset.View) float64 {
	if v.Pace == 0 {
		return unknownPace.Seconds()
	}
	return v.Pace.Seconds()
}

// start sends an item to an endpoint. The runner's lock is held.
func (r *Runner) start(ctx context.Context, h *held, it *item, route *manif.Route, v wset.View) {
	runCtx, cancel := context.WithCancelCause(ctx)
	it.cancel = cancel
	it.at = v.Endpoint
	it.started = time.Now()
	it.heard = it.started
	it.attempts++
	r.set.Begin(v.Endpoint)
	call := upstr.Call{
		Endpoint:  v.Endpoint,
		ID:        it.ID,
		Method:    "POST",
		Target:    it.Target,
		Host:      h.sub.Host,
		Header:    it.header(),
		Body:      it.Body,
		LastEvent: it.last,
	}
	if route.MaxQueue > 0 {
		call.Budget = route.MaxQueue - h.kept.Age(time.Now())
	}
	go r.run(runCtx, h, it, route, call)
}

func (r *Runner) run(ctx context.Context, h *held, it *item, route *manif.Route, call upstr.Call) {
	start, had := time.Now(), call.LastEvent
	err := r.stream(ctx, h, it, call)
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = cause
	}
	r.set.End(call.Endpoint)
	r.mu.Lock()
	it.cancel(nil)
	it.cancel = nil
	outcome := r.settle(h, it, route, call, err)
	r.mu.Unlock()
	r.meter.Count("item_runs_total", 1, "outcome", outcome)
	r.meter.Observe("item_run_seconds", time.Since(start))
	r.logger.Info("Item run.", "batch", h.sub.ID, "item", it.ID, "endpoint", call.Endpoint.ID, "from", had,
		"to", it.last, "outcome", outcome, "error", err, "attempt", it.attempts, "versions", it.versions, "took", time.Since(start).Round(time.Millisecond))
	r.Wake()
}

// settle takes the end of a run and names its outcome.
func (r *Runner) settle(h *held, it *item, route *manif.Route, call upstr.Call, err error) string {
	now := time.Now()
	var notRun *upstr.NotRunError
	var status *statusError
	switch {
	case it.done || h.ended || h.dropped:
		return "ended"
	case err == nil:
		it.whole = true
		h.finish(it, batch.Completed)
		return "completed"
	case errors.As(err, &notRun):
		it.notBefore = now.Add(retryPause)
		if notRun.Gone {
			r.set.Gone(call.Endpoint)
			return "endpoint gone"
		}
		r.set.Failed(call.Endpoint, now)
		return "not run"
	case errors.As(err, &status):
		return r.settleStatus(h, it, route, status)
	case errors.Is(err, errMoved):
		return "moved"
	default:
		r.set.Failed(call.Endpoint, now)
		return "broken"
	}
}

func (r *Runner) settleStatus(h *held, it *item, route *manif.Route, e *statusError) string {
	it.notBefore = time.Now().Add(retryPause)
	if e.Status == statusFailed {
		it.failures++
	}
	if e.Status == statusNever || it.failures >= route.MaxAttempts {
		h.finish(it, batch.Errored)
		return "errored"
	}
	return "failed"
}

// stream reads the events of one run into the item.
func (r *Runner) stream(ctx context.Context, h *held, it *item, call upstr.Call) error {
	a, err := r.sender.Send(ctx, call)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.Status != statusOK {
		_, _ = io.CopyN(io.Discard, a.Body, refusalBytes) // keeps the connection
		return &statusError{Status: a.Status}
	}
	return r.events(h, it, call, a)
}
