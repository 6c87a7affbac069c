package broute

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/intake"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/replog"
	"github.com/lavendermux/lavendermux/seal"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/walog"
)

const (
	// acquireTimeout bounds an acquire, which a later one repeats with another epoch. Machines
	// that lost power need less to restart.
	acquireTimeout = 45 * time.Second
	// loadTimeout bounds the read of the record, before which nothing else is done. The store
	// answers in 4 ms, or in a quarter of a second when it is slow.
	loadTimeout = time.Second
	// queryTimeout bounds the question whether a holder still accepts submissions.
	queryTimeout = 300 * time.Millisecond
	// sealRetryPause is the delay before the log of a model is sealed again.
	sealRetryPause = 150 * time.Millisecond
)

type (
	// acquisition is an acquire under way; done is closed once it has ended with err.
	acquisition struct {
		done chan struct{}
		err  error
	}

	// heldError means that a live instance holds the record of a model.
	heldError struct {
		Model, Holder string
	}

	// unsealedError means that too few replicas of a model's log can be reached. Without them
	// it isn't known what was accepted while the store was unavailable.
	unsealedError struct {
		Model    string
		Replicas []batch.Replica
	}
)

// Error names the holder.
func (e *heldError) Error() string {
	return fmt.Sprintf("model %s: its record is held by %s", e.Model, e.Holder)
}

// Error names the replicas, for operators to bring them back.
func (e *unsealedError) Error() string {
	return fmt.Sprintf("model %s: too few replicas of its log can be reached of %v", e.Model, e.Replicas)
}

// intakeLog is the ID of the log of a model's submissions, which no batch has.
func intakeLog(model string) string { return walog.ReservedPrefix + "intake/" + model }

func (d *Router) ownAcceptors() map[string]*acceptor {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]*acceptor, len(d.acceptors))
	for model, a := range d.acceptors {
		out[model] = a
	}
	return out
}

func (d *Router) removeAcceptor(a *acceptor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.acceptors[a.model] == a {
		delete(d.acceptors, a.model)
	}
}

func (d *Router) isAcquiring(model string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.acquisitions[model]
	return ok
}

// joinAcquire makes this instance the acceptor of a model, or joins an acquire under way,
// which continues if ctx ends first.
func (d *Router) joinAcquire(ctx context.Context, model string) error {
	d.mu.Lock()
	q, ok := d.acquisitions[model]
	if !ok {
		q = &acquisition{done: make(chan struct{})}
		d.acquisitions[model] = q
		go d.runAcquire(q, model)
	}
	d.mu.Unlock()
	select {
	case <-q.done:
		return q.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Router) runAcquire(q *acquisition, model string) {
	ctx, cancel := context.WithTimeout(d.baseCtx, acquireTimeout)
	defer cancel()
	start := time.Now()
	a, err := d.acquire(ctx, model)
	took := time.Since(start)
	d.mu.Lock()
	if err == nil {
		d.acceptors[model] = a
		d.seenGrants[model] = max(d.seenGrants[model], a.epoch)
	}
	delete(d.acquisitions, model)
	q.err = err
	d.mu.Unlock()
	close(q.done)
	if err != nil {
		d.logger.Warn("Model not acquired.", "model", model, "error", err, "took", took.Round(time.Millisecond))
		return
	}
	d.meter.Observe("intake_acquire_seconds", took)
}

// acquire makes this instance the acceptor of a model: it claims the record, seals the log,
// stores what its predecessor accepted, and learns which batches exist.
func (d *Router) acquire(ctx context.Context, model string) (*acceptor, error) {
	in, err := d.loadIntake(ctx, model)
	if err != nil {
		return nil, err
	}
	if !d.mesh.WaitSettled(ctx) {
		return nil, ctx.Err()
	}
	if d.isIsolated() {
		return nil, errIsolated
	}
	if n, alive := d.mesh.FindHolder(in.Holder); in.Revision > 0 && alive && !d.hasGivenUp(ctx, n, model) {
		return nil, &heldError{Model: model, Holder: in.Holder}
	}
	if err := d.probeReplicas(ctx, in); err != nil {
		return nil, err
	}
	claimed := in
	claimed.Holder, claimed.Epoch = d.self, in.Epoch+1
	err = d.store.SaveIntake(ctx, in, &claimed)
	var other *bstore.IntakeError
	if errors.As(err, &other) {
		return nil, &heldError{Model: model, Holder: other.Now.Holder}
	}
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	old := d.acceptors[model]
	d.mu.Unlock()
	if old != nil {
		old.end("model acquired again")
	}
	entries, err := d.sealIntake(ctx, claimed)
	if err != nil {
		return nil, err
	}
	if err := d.recoverEntries(ctx, claimed, entries); err != nil {
		return nil, err
	}
	heads, unreadable, err := d.store.CurrentHeads(ctx)
	if err != nil {
		return nil, err
	}
	if len(unreadable) > 0 {
		d.logger.Error("Heads of batches are unreadable.", "batches", unreadable)
	}
	next := claimed
	next.Stored += len(entries)
	next.Replicas = d.replicas.Choose(intakeLog(model), claimed.Replicas)
	if err := d.store.SaveIntake(ctx, claimed, &next); err != nil {
		return nil, err
	}
	if len(entries) > 0 {
		go d.replicas.Drop(d.baseCtx, intakeLog(model), next.Epoch, claimed.Replicas, next.Stored)
	}
	a := newAcceptor(d, next, heads, unreadable)
	d.logger.Info("Model acquired.", "model", model, "epoch", next.Epoch, "from", in.Holder, "recovered", len(entries), "stored", next.Stored,
		"replicas", len(next.Replicas), "known", len(heads))
	return a, nil
}

// probeReplicas returns an error unless enough replicas of a model's log answer. Without them a
// claim would only take the record from its holder. An instance that is cut off may not have
// noticed yet, so that it asks them.
func (d *Router) probeReplicas(ctx context.Context, in bstore.Intake) error {
	if len(in.Replicas) == 0 {
		return nil
	}
	err := d.replicas.Probe(ctx, intakeLog(in.Model), in.Epoch, in.Replicas)
	var fenced *seal.FencedError
	if err == nil || errors.As(err, &fenced) { // fenced: another instance has claimed the record since
		return err
	}
	return errors.CombineErrors(&unsealedError{Model: in.Model, Replicas: in.Replicas}, err)
}

// loadIntake returns the record of a model, or errStoreDown if the store doesn't answer soon.
func (d *Router) loadIntake(ctx context.Context, model string) (bstore.Intake, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	in, err := d.store.LoadIntake(ctx, model)
	var unreadable *bstore.DecodeError
	if err == nil || errors.As(err, &unreadable) {
		d.noteStore(nil)
		return in, err
	}
	d.noteStore(err)
	return in, errors.Mark(err, errStoreDown)
}

// hasGivenUp reports whether a live holder answers that it neither accepts submissions of the
// model nor acquires it.
func (d *Router) hasGivenUp(ctx context.Context, n mesh.Node, model string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	res, err := mesh.Call[intakeRequest, intakeResponse](ctx, d.mesh.Client(), n.Addr, IntakePath, &intakeRequest{Model: model})
	return err == nil && res.Outcome == outcomeElsewhere && !res.Acquiring
}

// isPermanent reports whether a submission of the log can never be stored: it can't be
// decoded, is too large, or its head in the store can't be decoded. It must not hold up the
// others.
func isPermanent(err error) bool {
	var tooLarge *bstore.SizeError
	var unreadable *bstore.DecodeError
	var malformed *intake.DecodeError
	return errors.As(err, &tooLarge) || errors.As(err, &malformed) || (errors.As(err, &unreadable) && unreadable.IsHead())
}

// sealIntake seals the log of a model and returns its entries that the store may lack. It
// retries until ctx ends, and never goes on without enough replicas: those in a partition may
// have submissions that were accepted, and the record would then name others.
func (d *Router) sealIntake(ctx context.Context, in bstore.Intake) ([]batch.Result, error) {
	if len(in.Replicas) == 0 {
		return nil, nil
	}
	for {
		results, err := d.replicas.Seal(ctx, intakeLog(in.Model), in.Epoch, in.Replicas, in.Stored)
		var tooFew *replog.QuorumError
		if !errors.As(err, &tooFew) {
			return results, err
		}
		d.logger.Warn("Log of submissions on too few replicas; retrying.", "model", in.Model, "epoch", in.Epoch, "error", err)
		if !sleep.For(ctx, sealRetryPause) {
			return nil, errors.CombineErrors(&unsealedError{Model: in.Model, Replicas: in.Replicas}, err)
		}
	}
}

// recoverEntries stores the batches of log entries. One that can never be stored is logged and
// left out.
func (d *Router) recoverEntries(ctx context.Context, in bstore.Intake, entries []batch.Result) error {
	for _, r := range entries {
		e, err := intake.Decode(r)
		if err == nil {
			err = d.recoverEntry(ctx, in, e)
		}
		switch {
		case isPermanent(err):
			d.logger.Error("Submission of the log can't be stored; it is left out.", "batch", r.ID, "model", in.Model, "epoch", in.Epoch, "error", err)
		case err != nil:
			return err
		}
	}
	return nil
}

// recoverEntry stores the batch of a log entry, with the results that its owner listed, and
// continues it here. A batch that the store has is left to its owner, or taken over if that
// is lost.
func (d *Router) recoverEntry(ctx context.Context, in bstore.Intake, e intake.Entry) error {
	id := e.Submission.ID
	release, err := d.claimTakeover(ctx, id)
	if err != nil {
		return err
	}
	head, err := d.store.Load(ctx, id)
	if err == nil && head.Revision == 0 {
		err = d.storeRecovered(ctx, in, e)
	}
	release()
	if _, alive := d.mesh.FindHolder(head.Owner); err == nil && head.Revision > 0 && !alive && !head.Ended && head.Owner != d.self {
		go d.takeOverLost(id, head.Owner)
	}
	return err
}

// storeRecovered stores a batch that the store doesn't have, and continues it. If too few
// replicas of its results can be reached, it only stores the batch, so that it holds up no
// others; a takeover reads the results once that is possible.
func (d *Router) storeRecovered(ctx context.Context, in bstore.Intake, e intake.Entry) (err error) {
	id := e.Submission.ID
	rec := bstore.Record{ID: id, AcceptedAt: time.Now().Add(-e.Age), Head: batch.Head{Owner: d.self, Epoch: acceptedEpoch + in.Epoch - e.Epoch, Replicas: e.Replicas}}
	d.correctAge(&rec)
	d.runner.Drop(id, "recovered from the log")
	var results []batch.Result
	var sealErr error
	if len(e.Replicas) > 0 {
		results, sealErr = d.replicas.Seal(ctx, id, rec.Epoch, e.Replicas, 0)
		if sealErr != nil && !isUnsealed(sealErr) {
			return sealErr
		}
	}
	err = d.store.CreateFenced(ctx, in, &rec, e.Submission, results)
	var tooLarge *bstore.SizeError
	if errors.As(err, &tooLarge) && len(results) > 0 {
		// The results don't fit next to the submission. They stay on the replicas until they
		// are stored: a successor would read them there.
		if err = d.store.CreateFenced(ctx, in, &rec, e.Submission, nil); err == nil {
			err = d.store.Apply(ctx, bstore.Change{Record: &rec, Results: results})
		}
	}
	if err != nil {
		return err
	}
	d.cacheHead(rec)
	if sealErr != nil {
		d.logger.Error("Submission recovered from the log; too few replicas of its results can be reached.", "batch", id, "model", in.Model,
			"epoch", rec.Epoch, "error", sealErr)
		go d.watch(id, rec.Epoch, unsealedRetryPause)
		return nil
	}
	d.runner.Add(d.baseCtx, rec, e.Submission, results, nil)
	d.logger.Warn("Submission recovered from the log.", "batch", id, "model", in.Model, "epoch", rec.Epoch, "results", len(results))
	if len(results) > 0 {
		go d.replicas.Drop(d.baseCtx, id, rec.Epoch, e.Replicas, len(results))
	}
	return nil
}

// claimTakeover has takeovers of a batch wait until release is called.
func (d *Router) claimTakeover(ctx context.Context, id string) (release func(), err error) {
	for {
		d.mu.Lock()
		t, ok := d.takeovers[id]
		if !ok {
			t = newTakeover()
			d.takeovers[id] = t
			d.mu.Unlock()
			return func() {
				d.removeTakeover(id, t)
				close(t.done)
			}, nil
		}
		d.mu.Unlock()
		select {
		case <-t.removed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
