package broute

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/intake"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/seal"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// storeWait is how long the store may take to create a batch before it is accepted by
	// replicas. The store answers in 4 ms, or in a quarter of a second when it is slow.
	storeWait = 300 * time.Millisecond
	// storeDownFor is how long after a failed call submissions go to the replicas, or are
	// refused, at once.
	storeDownFor = 2 * time.Second
	// attemptTimeout bounds an attempt to accept a submission. A caller waits 3 s.
	attemptTimeout = 3 * time.Second
	// storeTimeout bounds one write of the log to the store, storeRetryPause is the pause after
	// one that failed. Together they are less than storeDownFor.
	storeTimeout    = time.Second
	storeRetryPause = 150 * time.Millisecond
	// saveInterval is how often the record is written while log entries are stored.
	saveInterval = 250 * time.Millisecond
	// appendWarnInterval is the interval of warnings about replicas out of reach, of which an
	// outage would otherwise have ten each second.
	appendWarnInterval = 2 * time.Second
	// appendRetryPause is the pause after an append that reached too few replicas.
	appendRetryPause = 100 * time.Millisecond
)

type (
	// acceptor accepts the submissions of one model at this instance.
	acceptor struct {
		router *Router
		model  string
		epoch  int64
		ctx    context.Context //nolint:containedctx // It bounds what outlives the calls of submitters.
		cancel context.CancelFunc

		// closed is set once nothing more is accepted.
		closed atomic.Bool

		// mu may be taken while Router.mu is held, and not the other way round.
		mu    sync.Mutex
		state *intake.Acceptor
		// record is the record as confirmed by the store.
		record bstore.Intake
		// attempts are the submissions being accepted, entries the log entries that the store
		// lacks, both by ID.
		attempts map[string]*attempt
		entries  map[string]*logEntry
		// unanswered are the creates that may have taken effect, by ID. They are repeated
		// unchanged: the head would otherwise name other replicas than those in use.
		unanswered map[string]unanswered
		// unreadable are the IDs whose heads couldn't be decoded when the model was acquired.
		unreadable map[string]bool
		// ended is set once the acceptor is fenced, isMoving while other replicas are written to
		// the record.
		ended, isMoving bool
		appendWake      chan struct{}
		storeWake       chan struct{}
	}

	// attempt is an attempt to accept a submission; done is closed once res is set.
	attempt struct {
		customer string
		done     chan struct{}
		res      intakeResponse
	}

	// unanswered is a create without an answer.
	unanswered struct {
		rec bstore.Record
		sub *batch.Submission
	}

	// logEntry is a submission in the log.
	logEntry struct {
		rec bstore.Record
		sub *batch.Submission
		// isStarted is set once the batch is accepted and runs; accepted is closed then.
		isStarted bool
		accepted  chan struct{}
		// isStored is set once the store has the batch.
		isStored bool
		// stored is closed once the record counts the entry too, or err is set: until then a
		// successor would store the batch again if it were ended and removed.
		stored chan struct{}
		err    error
	}
)

// errEnded is returned for a submission that an acceptor didn't append because it has ended.
var errEnded = errors.New("the acceptor has ended")

// newAcceptor returns an acceptor that holds a record and knows the stored batches, and the
// IDs of those whose heads can't be decoded.
func newAcceptor(d *Router, in bstore.Intake, heads []bstore.Record, unreadable []string) *acceptor {
	ctx, cancel := context.WithCancel(d.baseCtx)
	a := &acceptor{
		router:     d,
		model:      in.Model,
		epoch:      in.Epoch,
		ctx:        ctx,
		cancel:     cancel,
		state:      intake.New(in.Epoch, in.Stored, in.Replicas),
		record:     in,
		attempts:   make(map[string]*attempt),
		entries:    make(map[string]*logEntry),
		unanswered: make(map[string]unanswered),
		unreadable: make(map[string]bool),
		appendWake: make(chan struct{}, 1),
		storeWake:  make(chan struct{}, 1),
	}
	for _, rec := range heads {
		a.state.Learn(rec.ID, rec.Customer, time.Now())
	}
	for _, id := range unreadable {
		a.unreadable[id] = true
	}
	go a.appendLoop()
	go a.storeLoop()
	return a
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (a *acceptor) isOpen() bool { return !a.closed.Load() }

func (a *acceptor) pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Pending()
}

// giveUp accepts nothing more. The log is stored as long as no successor has acquired the
// model.
func (a *acceptor) giveUp(cause string) {
	if !a.closed.Swap(true) {
		a.router.logger.Warn("Acceptor gives up.", "model", a.model, "epoch", a.epoch, "pending", a.pending(), "cause", cause)
	}
}

// end ends an acceptor that was fenced. Its batches that the store lacks are dropped: the
// successor has them.
func (a *acceptor) end(cause string) {
	a.mu.Lock()
	wasEnded, pending := a.ended, a.state.Pending()
	a.ended = true
	a.closed.Store(true)
	for id, e := range a.entries {
		if e.isStored {
			a.finish(e, nil) // its head fences other owners
			continue
		}
		a.finish(e, &bstore.FencedError{ID: id, Now: batch.Head{Epoch: a.epoch}})
	}
	a.mu.Unlock()
	a.cancel()
	a.router.removeAcceptor(a)
	if !wasEnded {
		a.router.logger.Warn("Acceptor ended.", "model", a.model, "epoch", a.epoch, "pending", pending, "cause", cause)
	}
}

// finish records the outcome of storing a log entry. The caller holds a.mu.
func (a *acceptor) finish(e *logEntry, err error) {
	delete(a.entries, e.sub.ID)
	e.err = err
	close(e.stored)
}

// submit accepts a submission, or joins an attempt under way.
func (a *acceptor) submit(ctx context.Context, sub *batch.Submission) intakeResponse {
	a.mu.Lock()
	if a.closed.Load() {
		a.mu.Unlock()
		return intakeResponse{Outcome: outcomeElsewhere, Cause: errEnded.Error()}
	}
	if customer, ok := a.state.CustomerOf(sub.ID); ok {
		a.mu.Unlock()
		return a.known(sub, customer)
	}
	t, ok := a.attempts[sub.ID]
	if !ok {
		t = &attempt{customer: sub.Customer, done: make(chan struct{})}
		a.attempts[sub.ID] = t
		go a.run(t, sub)
	}
	a.mu.Unlock()
	if t.customer != sub.Customer {
		return intakeResponse{Outcome: outcomeConflict}
	}
	select {
	case <-t.done:
		return t.res
	case <-ctx.Done():
		return intakeResponse{Outcome: outcomeUnknown, Cause: "the submission is still being accepted"}
	}
}

// known is the answer for a batch that exists, at whichever owner.
func (a *acceptor) known(sub *batch.Submission, customer string) intakeResponse {
	if customer != sub.Customer {
		return intakeResponse{Outcome: outcomeConflict}
	}
	go func() { _ = a.router.ensureOwned(sub.ID) }() // logged
	return intakeResponse{Outcome: outcomeStored}
}

func (a *acceptor) run(t *attempt, sub *batch.Submission) {
	ctx, cancel := context.WithTimeout(a.ctx, attemptTimeout)
	defer cancel()
	start := time.Now()
	t.res = a.tryAccept(ctx, sub, start)
	a.mu.Lock()
	delete(a.attempts, sub.ID)
	a.mu.Unlock()
	close(t.done)
	a.router.logger.Info("Submission handled by acceptor.", "batch", sub.ID, "model", a.model, "epoch", a.epoch, "outcome", t.res.Outcome,
		"cause", t.res.Cause, "took", time.Since(start).Round(time.Millisecond))
}

// tryAccept creates the batch in the store, or appends it to the log if the store is
// unavailable.
func (a *acceptor) tryAccept(ctx context.Context, sub *batch.Submission, since time.Time) intakeResponse {
	a.mu.Lock()
	e := a.entries[sub.ID]
	earlier, isUnknown := a.unanswered[sub.ID]
	a.mu.Unlock()
	if (e != nil && e.sub.Customer != sub.Customer) || (isUnknown && earlier.sub.Customer != sub.Customer) {
		return intakeResponse{Outcome: outcomeConflict}
	}
	if e == nil {
		u := earlier
		if !isUnknown {
			u = unanswered{sub: sub, rec: bstore.Record{ID: sub.ID, AcceptedAt: since, Head: batch.Head{Owner: a.router.self, Epoch: acceptedEpoch,
				Customer: sub.Customer, Replicas: a.router.replicas.Choose(sub.ID, nil)}}}
		}
		res, mayExist := a.tryStore(ctx, &u.rec, u.sub)
		if res.Outcome != "" {
			return res
		}
		if mayExist {
			isUnknown = true
			a.mu.Lock()
			a.unanswered[sub.ID] = u
			a.mu.Unlock()
		}
		if e, res = a.tryLog(ctx, u, isUnknown); res.Outcome != "" {
			return res
		}
	}
	select {
	case <-e.accepted:
		return intakeResponse{Outcome: outcomeLogged, Holder: a.router.self}
	case <-e.stored:
	case <-ctx.Done():
		return intakeResponse{Outcome: outcomeUnknown, Cause: "too few replicas have the submission"}
	}
	if e.err != nil {
		return intakeResponse{Outcome: outcomeUnknown, Cause: e.err.Error()}
	}
	return intakeResponse{Outcome: outcomeStored, Holder: a.router.self}
}

// tryLog adds a submission that the store didn't take to the log. isUnknown reports whether a
// create of it may have taken effect. The response has no outcome if there is a log entry.
func (a *acceptor) tryLog(ctx context.Context, u unanswered, isUnknown bool) (*logEntry, intakeResponse) {
	if res, ok := a.ownedElsewhere(ctx, u.sub); ok {
		return nil, res
	}
	a.mu.Lock()
	isUnreadable := a.unreadable[u.sub.ID]
	a.mu.Unlock()
	if isUnreadable {
		return nil, intakeResponse{Outcome: outcomeRefused, Cause: "the store has a head of this ID that can't be decoded"}
	}
	var tooLarge *bstore.SizeError
	if err := a.router.store.CheckSize(u.sub); errors.As(err, &tooLarge) {
		return nil, intakeResponse{Outcome: outcomeTooLarge, Bytes: tooLarge.Bytes, Max: tooLarge.Max}
	}
	e, err := a.log(u.rec, u.sub)
	switch {
	case err == nil:
		return e, intakeResponse{}
	case isUnknown:
		return nil, intakeResponse{Outcome: outcomeUnknown, Cause: "the store has not answered, and " + err.Error()}
	case errors.Is(err, errEnded):
		return nil, intakeResponse{Outcome: outcomeElsewhere, Cause: err.Error()}
	}
	return nil, intakeResponse{Outcome: outcomeRefused, Cause: err.Error()}
}

// tryStore creates the batch in the store. The response has no outcome if the submission is
// to be logged; mayExist reports whether the create may then have taken effect.
func (a *acceptor) tryStore(ctx context.Context, rec *bstore.Record, sub *batch.Submission) (res intakeResponse, mayExist bool) {
	a.mu.Lock()
	canLog := a.state.CanAppend() == nil
	a.mu.Unlock()
	if canLog && a.router.storeLooksDown() {
		return intakeResponse{}, false
	}
	createCtx, cancel := ctx, context.CancelFunc(func() {})
	if canLog {
		createCtx, cancel = context.WithTimeout(ctx, storeWait)
	}
	defer cancel()
	err := a.create(createCtx, rec, sub)
	var fenced *bstore.FencedError
	var other *bstore.IntakeError
	var tooLarge *bstore.SizeError
	var refused *kvst.RefusedError
	var unreadable *bstore.DecodeError
	switch {
	case err == nil:
		a.router.noteStore(nil)
		a.learn(sub)
		a.router.cacheHead(*rec)
		a.router.runner.Add(a.router.baseCtx, *rec, sub, nil, nil)
		return intakeResponse{Outcome: outcomeStored, Holder: a.router.self}, false
	case errors.As(err, &fenced):
		a.mu.Lock()
		delete(a.unanswered, sub.ID) // another owner has created the batch
		a.mu.Unlock()
		return a.known(sub, fenced.Now.Customer), false
	case errors.As(err, &tooLarge):
		return intakeResponse{Outcome: outcomeTooLarge, Bytes: tooLarge.Bytes, Max: tooLarge.Max}, false
	case errors.As(err, &other):
		a.end(err.Error())
		return intakeResponse{Outcome: outcomeElsewhere, Holder: other.Now.Holder, Cause: err.Error()}, false
	case errors.As(err, &unreadable):
		return intakeResponse{Outcome: outcomeRefused, Cause: err.Error()}, false
	}
	a.router.noteStore(err)
	a.router.logger.Warn("Batch not created by the store yet.", "batch", sub.ID, "model", a.model, "error", err)
	return intakeResponse{}, !errors.As(err, &refused)
}

// create creates a batch under the record. If a write of the record by this acceptor has
// taken effect late, it uses the new revision.
func (a *acceptor) create(ctx context.Context, rec *bstore.Record, sub *batch.Submission) error {
	for {
		a.mu.Lock()
		in := a.record
		a.mu.Unlock()
		err := a.router.store.CreateFenced(ctx, in, rec, sub, nil)
		var other *bstore.IntakeError
		if !errors.As(err, &other) || !a.adopt(in, other.Now) {
			return err
		}
	}
}

// adopt takes over a record that this acceptor wrote after the one that it knew, and reports
// whether it did.
func (a *acceptor) adopt(known, now bstore.Intake) bool {
	if now.Holder != a.router.self || now.Epoch != a.epoch || now.Revision == known.Revision {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Revision > a.record.Revision {
		a.record = now
		a.isMoving = false
		for _, id := range a.state.Saved(now.Stored, now.Replicas) {
			if e, ok := a.entries[id]; ok {
				a.finish(e, nil)
			}
		}
	}
	return true
}

// ownedElsewhere answers a submission whose batch a live peer owns: one that was handed over,
// and that the acceptor has forgotten.
func (a *acceptor) ownedElsewhere(ctx context.Context, sub *batch.Submission) (intakeResponse, bool) {
	n, ok := a.router.mesh.OwnerOf(sub.ID)
	if !ok {
		return intakeResponse{}, false
	}
	res, err := a.router.askPeer(ctx, n, askRequest{Op: opBody, ID: sub.ID, Customer: sub.Customer})
	switch {
	case err != nil:
		return intakeResponse{Outcome: outcomeUnknown, Cause: err.Error()}, true
	case !res.Owned:
		return intakeResponse{}, false
	case res.OtherCustomer:
		return intakeResponse{Outcome: outcomeConflict}, true
	}
	return intakeResponse{Outcome: outcomeStored}, true
}

// learn remembers the ID of an accepted submission.
func (a *acceptor) learn(sub *batch.Submission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Learn(sub.ID, sub.Customer, time.Now())
	delete(a.unanswered, sub.ID)
}

// log adds a submission to the log, which appendLoop and storeLoop then handle.
func (a *acceptor) log(rec bstore.Record, sub *batch.Submission) (*logEntry, error) {
	encoded, err := intake.Entry{Submission: sub, Replicas: rec.Replicas, Epoch: a.epoch, Age: rec.Age(time.Now())}.Encode()
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed.Load() {
		return nil, errEnded
	}
	if err := a.state.Append(encoded); err != nil {
		return nil, err
	}
	e := &logEntry{rec: rec, sub: sub, accepted: make(chan struct{}), stored: make(chan struct{})}
	a.entries[sub.ID] = e
	delete(a.unanswered, sub.ID) // the entry has its record
	signal(a.appendWake)
	signal(a.storeWake)
	return e, nil
}

// appendLoop appends log entries to the replicas and accepts those that enough have synced.
func (a *acceptor) appendLoop() {
	var warnedAt time.Time
	for {
		a.mu.Lock()
		from, stored, entries := a.state.Unsynced()
		replicas := a.state.Replicas()
		a.mu.Unlock()
		to := stored + len(entries)
		if from == to {
			select {
			case <-a.ctx.Done():
				return
			case <-a.appendWake:
			}
			continue
		}
		start := time.Now()
		err := a.router.replicas.Append(a.ctx, intakeLog(a.model), a.epoch, replicas, from, stored, entries)
		var fenced *seal.FencedError
		switch {
		case a.ctx.Err() != nil:
			return
		case errors.As(err, &fenced):
			a.end(err.Error())
			return
		case err != nil:
			if time.Since(warnedAt) >= appendWarnInterval {
				warnedAt = time.Now()
				a.router.logger.Warn("Submissions on too few replicas.", "model", a.model, "epoch", a.epoch, "from", from, "entries", to-from, "error", err)
			}
			sleep.For(a.ctx, appendRetryPause)
			continue
		}
		a.router.logger.Info("Submissions on replicas.", "model", a.model, "epoch", a.epoch, "from", from, "entries", to-from, "stored", stored,
			"took", time.Since(start).Round(time.Millisecond))
		a.mu.Lock()
		for _, id := range a.state.Synced(to) {
			if e, ok := a.entries[id]; ok {
				a.start(e)
			}
		}
		a.mu.Unlock()
	}
}

// start runs the batch of an accepted log entry. The caller holds a.mu.
func (a *acceptor) start(e *logEntry) {
	if e.isStarted || a.ended {
		return
	}
	e.isStarted = true
	a.state.Learn(e.sub.ID, e.sub.Customer, time.Now())
	rec := e.rec
	a.router.runner.AddPending(a.router.baseCtx, rec, e.sub, func(ctx context.Context, rec *bstore.Record) error {
		select {
		case <-e.stored:
		case <-ctx.Done():
			return ctx.Err()
		}
		if e.err == nil {
			*rec = e.rec
		}
		return e.err
	})
	close(e.accepted)
}

// storeLoop creates the batches of log entries in order, and writes to the record how many the
// store has: once it has all of them, and every saveInterval until then.
func (a *acceptor) storeLoop() {
	savedAt := time.Now()
	for {
		a.mu.Lock()
		id, ok := a.state.NextToStore()
		e := a.entries[id]
		count, record := a.state.StoredCount(), a.record
		a.mu.Unlock()
		var err error
		switch {
		case count > record.Stored && (!ok || time.Since(savedAt) >= saveInterval):
			if err = a.save(record, count, record.Replicas); err == nil {
				savedAt = time.Now()
			}
		case ok && e != nil:
			err = a.storeEntry(e)
		default:
			select {
			case <-a.ctx.Done():
				return
			case <-a.storeWake:
			}
			continue
		}
		var other *bstore.IntakeError
		switch {
		case a.ctx.Err() != nil:
			return
		case errors.As(err, &other):
			a.end(err.Error())
			return
		case err != nil:
			a.router.noteStore(err)
			a.router.logger.Warn("Submissions not stored yet.", "model", a.model, "epoch", a.epoch, "stored", count, "error", err)
			sleep.For(a.ctx, storeRetryPause)
		}
	}
}

// storeEntry creates the batch of a log entry. A batch that exists under another owner counts
// as stored, and is dropped here, and so is one that can never be stored: otherwise no later
// submission would be stored.
func (a *acceptor) storeEntry(e *logEntry) error {
	ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
	defer cancel()
	rec := e.rec
	err := a.create(ctx, &rec, e.sub)
	var fenced *bstore.FencedError
	exists := errors.As(err, &fenced)
	if err != nil && !exists && !isPermanent(err) {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return a.ctx.Err()
	}
	a.state.MarkStored(e.sub.ID)
	switch {
	case exists:
		a.state.Learn(e.sub.ID, fenced.Now.Customer, time.Now())
		a.finish(e, err)
	case err != nil:
		a.router.logger.Error("Submission of the log can't be stored; it is dropped.", "batch", e.sub.ID, "model", a.model, "epoch", a.epoch, "error", err)
		a.finish(e, &bstore.FencedError{ID: e.sub.ID})
		return nil
	default:
		e.rec, e.isStored = rec, true
		a.start(e)
	}
	a.router.logger.Info("Submission of the log stored.", "batch", e.sub.ID, "model", a.model, "epoch", a.epoch, "revision", rec.Revision, "exists", exists)
	return nil
}

// save writes the record, and drops the log at its replicas if the store has all of it. An
// error other than *bstore.IntakeError leaves open whether the write takes effect; it is
// repeated until one of them is answered.
func (a *acceptor) save(known bstore.Intake, stored int, replicas []batch.Replica) error {
	ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
	defer cancel()
	next := known
	next.Stored, next.Replicas = stored, replicas
	err := a.router.store.SaveIntake(ctx, known, &next)
	var other *bstore.IntakeError
	if errors.As(err, &other) && a.adopt(known, other.Now) {
		return nil
	}
	if err != nil {
		return err
	}
	a.adopt(known, next)
	a.router.noteStore(nil)
	a.router.logger.Info("Intake record written.", "model", a.model, "epoch", a.epoch, "stored", stored, "replicas", len(replicas), "revision", next.Revision)
	if stored > known.Stored {
		go a.router.replicas.Drop(a.ctx, intakeLog(a.model), a.epoch, known.Replicas, stored)
	}
	return nil
}

// tend replaces replicas that are out of reach or to be emptied, and forgets old IDs.
func (a *acceptor) tend(now time.Time) {
	isDown := a.router.storeLooksDown()
	own, others := a.router.runner.Holding(), a.router.mesh.OpenBatches()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !isDown { // in an outage no batch is removed, and the owner of an open one may be lost
		before := now.Add(-a.router.knownTTL)
		a.state.Forget(before, now, func(id string) bool {
			_, isOwn := own[id]
			return isOwn || others[id]
		})
		maps.DeleteFunc(a.unanswered, func(_ string, u unanswered) bool { return u.rec.AcceptedAt.Before(before) })
	}
	if isDown || a.isMoving || a.closed.Load() {
		return
	}
	chosen := a.router.replicas.Choose(intakeLog(a.model), a.record.Replicas)
	if chosen == nil || sameReplicas(chosen, a.record.Replicas) || !a.state.BeginMove() {
		return
	}
	a.isMoving = true
	go a.move(chosen)
}

// move writes other replicas to the record, until a write is answered.
func (a *acceptor) move(chosen []batch.Replica) {
	isUnknown := false
	for {
		a.mu.Lock()
		record, isMoving := a.record, a.isMoving
		a.mu.Unlock()
		if !isMoving {
			return // an earlier write has taken effect
		}
		err := a.save(record, record.Stored, chosen)
		var other *bstore.IntakeError
		if errors.As(err, &other) {
			a.end(err.Error())
		}
		if a.ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		var refused *kvst.RefusedError
		isUnknown = isUnknown || !errors.As(err, &refused)
		a.router.logger.Warn("Replicas of the log not replaced yet.", "model", a.model, "epoch", a.epoch, "unknown", isUnknown, "error", err)
		a.router.noteStore(err)
		a.mu.Lock()
		if !isUnknown { // the record names the earlier replicas, which still serve
			a.isMoving = false
			a.state.Saved(a.record.Stored, a.record.Replicas)
		}
		a.mu.Unlock()
		sleep.For(a.ctx, storeRetryPause)
	}
}

func sameReplicas(a, b []batch.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
