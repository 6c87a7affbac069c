package broute

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/assign"
	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// IntakePath is the HTTP path of submissions that peers pass on to an acceptor.
	IntakePath = "/lavendermux.Intake/Submit"

	// The outcomes of a submission at an instance. Only outcomeUnknown leaves open whether it
	// runs.
	outcomeStored    = "stored"
	outcomeLogged    = "logged"
	outcomeRefused   = "refused"
	outcomeUnknown   = "unknown"
	outcomeElsewhere = "elsewhere"
	outcomeConflict  = "conflict"
	outcomeTooLarge  = "tooLarge"

	// minIntakeEntries is the number of entries from which on submissions of a model go to
	// one of them (package assign).
	minIntakeEntries = 6
	// submitRetryPause is the delay before a submission is sent again: to a successor, or to
	// an acceptor that gave no answer.
	submitRetryPause = 100 * time.Millisecond
	// intakeAnswerMargin is how much earlier than the caller an acceptor gives up, so that its
	// answer arrives.
	intakeAnswerMargin = 100 * time.Millisecond
	// submissionsPerGrant is the number of open batches that a grant counts for when an
	// acceptor is chosen: a trainer's step and the one that overlaps with it.
	submissionsPerGrant = 2
	// intakeInterval is the interval of checks for models without an acceptor and for replicas
	// to be replaced. acquireRetryDelay is the delay after a failed acquire.
	intakeInterval    = 250 * time.Millisecond
	acquireRetryDelay = time.Second
	// giveUpAfter is how long an acceptor may be short of processor time: 5 s, and the 6 s for
	// which package cpulag still reports that after it has ended.
	giveUpAfter = 11 * time.Second
	// defaultRetention is how long the IDs of accepted batches are kept, and expiryMargin is
	// added to it: as long as ended batches stay in the store (package brun).
	defaultRetention = 2 * time.Minute
	expiryMargin     = 30 * time.Second
)

type (
	intakeRequest struct {
		Model string `json:"model"`
		// Submission is nil in a question for the state of the receiver only.
		Submission *batch.Submission `json:"submission,omitempty"`
		Customer   string            `json:"customer,omitempty"`
		// WaitMs is how long the sender waits for the answer.
		WaitMs int64 `json:"waitMs,omitempty"`
	}

	intakeResponse struct {
		Outcome string `json:"outcome"`
		// Holder is the owner of an accepted batch, or the instance to ask instead.
		Holder string `json:"holder,omitempty"`
		Cause  string `json:"cause,omitempty"`
		// Bytes and Max are set if the submission is too large.
		Bytes int `json:"bytes,omitempty"`
		Max   int `json:"max,omitempty"`
		// Acquiring is set while the receiver acquires the model.
		Acquiring bool `json:"acquiring,omitempty"`
		// Epoch is that of the receiver's acceptor, and Pending counts the submissions in its log that
		// the store may lack. They are set in answers about its state only.
		Epoch   int64 `json:"epoch,omitempty"`
		Pending int   `json:"pending,omitempty"`
	}

	// RefusedError means that a submission was not accepted and doesn't run.
	RefusedError struct {
		Cause string
	}

	// UnknownOutcomeError means that a submission may have been accepted.
	UnknownOutcomeError struct {
		Cause string
	}
)

// errStoreDown means that a model can't be acquired because the store is unavailable.
var errStoreDown = errors.New("nobody accepts submissions of the model, and the store is unavailable")

// errIsolated means that a model isn't acquired because no peer is known to be alive.
var errIsolated = errors.New("nobody accepts submissions of the model, and no peer is alive")

// errRecovering is returned instead of NotFoundError while a batch may be in the log of an
// acceptor that was lost.
var errRecovering = errors.New("submissions accepted while the store was unavailable are still to be recovered")

// Error names the cause.
func (e *RefusedError) Error() string { return "submission not accepted: " + e.Cause }

// Error names the cause.
func (e *UnknownOutcomeError) Error() string {
	return "submission may have been accepted: " + e.Cause
}

// submit accepts a batch through the acceptor of its model, or directly where the model has
// none. It returns whether the batch is stored or logged.
func (d *Router) submit(ctx context.Context, sub *batch.Submission) (outcome string, err error) {
	if !d.usesIntake(sub.Model) {
		err := d.submitDirect(ctx, sub)
		var other *bstore.IntakeError
		var unreadable *bstore.DecodeError
		if errors.As(err, &unreadable) {
			return "", &RefusedError{Cause: err.Error()} // the create found the record, and wrote nothing
		}
		if !errors.As(err, &other) {
			return outcomeStored, err
		}
		d.noteRecord(other.Now)
	}
	return d.submitToAcceptor(ctx, sub)
}

// usesIntake reports whether submissions of a model go to an acceptor: if it has one or had
// one, or if there are enough entries and disks for one.
func (d *Router) usesIntake(model string) bool {
	d.mu.Lock()
	_, own := d.acceptors[model]
	_, seen := d.seenGrants[model]
	d.mu.Unlock()
	if own || seen {
		return true
	}
	if _, granted := d.mesh.Grants()[model]; granted {
		return true
	}
	if !d.isServed(model) {
		return false
	}
	// Entries that don't reach the store count: in an outage a create without record would stay
	// without an answer.
	if len(d.intakeEntries(false)) < minIntakeEntries {
		return false
	}
	return len(d.replicas.Choose(intakeLog(model), nil)) > 0
}

// noteRecord remembers that a model has an intake record, so that it gets an acceptor.
func (d *Router) noteRecord(in bstore.Intake) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seenGrants[in.Model] = max(d.seenGrants[in.Model], in.Epoch)
}

// preferredAcceptor returns the entry that should accept the submissions of a model by model
// affinity. It returns false if there are too few candidates for that.
func (d *Router) preferredAcceptor(model string) (mesh.Node, bool) {
	granted := make(map[string]int)
	for _, g := range d.mesh.Grants() {
		granted[g.Node.Name] += submissionsPerGrant
	}
	entries := make(map[mesh.Node]int)
	for n, owned := range d.mesh.TakeoverCandidates() {
		if n.Accepts {
			entries[n] = max(owned, granted[n.Name])
		}
	}
	if self := d.mesh.Self(); self.Accepts && !d.stopping.Load() && !d.isCPUStarved() {
		entries[self] = max(len(d.runner.Holding()), submissionsPerGrant*len(d.Grants()))
	}
	return assign.Preferred(model, model, entries)
}

// intakeEntries returns the live entries that can accept submissions for others; with reaching
// set, only those that reach the store.
func (d *Router) intakeEntries(reaching bool) []mesh.Node {
	return slices.DeleteFunc(d.mesh.Entries(reaching), func(n mesh.Node) bool { return !n.Accepts })
}

// acquirer returns the entry that should acquire a model now.
func (d *Router) acquirer(model string) (mesh.Node, bool) {
	if n, ok := d.preferredAcceptor(model); ok {
		return n, true
	}
	first := rendez.Top(model, d.intakeEntries(true), 1, func(n mesh.Node) string { return n.Name })
	if len(first) == 0 {
		return mesh.Node{}, false
	}
	return first[0], true
}

// noteStore records whether the store has answered a call on behalf of a submission.
func (d *Router) noteStore(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeFailedAt = time.Time{}
	if err != nil {
		d.storeFailedAt = time.Now()
	}
}

// storeLooksDown reports whether the store is known to be unavailable, or has failed a call on
// behalf of a submission less than storeDownFor ago.
func (d *Router) storeLooksDown() bool {
	d.mu.Lock()
	failedAt := d.storeFailedAt
	d.mu.Unlock()
	return time.Since(failedAt) < storeDownFor || d.isStoreDown()
}

// submitToAcceptor passes a submission to the acceptor of its model until the outcome is
// known or ctx ends. Once an acceptor has given no answer, the submission may run.
func (d *Router) submitToAcceptor(ctx context.Context, sub *batch.Submission) (outcome string, err error) {
	var unknown, holder string
	cause := "no instance accepts submissions of the model"
	for {
		n, ok := d.acceptorFor(sub.Model, holder)
		if !ok && unknown == "" && d.isStoreDown() {
			return "", &RefusedError{Cause: cause + ", and the store is unavailable"}
		}
		if ok {
			res := d.askAcceptor(ctx, n, sub)
			holder = ""
			switch res.Outcome {
			case outcomeStored, outcomeLogged:
				if res.Holder != "" && res.Holder != d.self {
					d.cacheOwner(sub, res.Holder)
				}
				return res.Outcome, nil
			case outcomeConflict:
				return "", &IDConflictError{ID: sub.ID}
			case outcomeTooLarge:
				return "", &bstore.SizeError{Bytes: res.Bytes, Max: res.Max}
			case outcomeUnknown:
				unknown = res.Cause
			case outcomeElsewhere:
				holder, cause = res.Holder, res.Cause
			case outcomeRefused:
				if unknown == "" {
					return "", &RefusedError{Cause: res.Cause}
				}
			}
		}
		// A call with little time left would get no answer, and leave the outcome open.
		deadline, ok := ctx.Deadline()
		if !sleep.For(ctx, submitRetryPause) || (ok && time.Until(deadline) < 2*intakeAnswerMargin) {
			break
		}
	}
	if unknown != "" {
		return "", &UnknownOutcomeError{Cause: unknown}
	}
	return "", &RefusedError{Cause: cause}
}

// cacheOwner remembers the owner of a batch that the store may not have yet, for reads.
func (d *Router) cacheOwner(sub *batch.Submission, owner string) {
	d.cacheHead(bstore.Record{ID: sub.ID, Head: batch.Head{Owner: owner, Epoch: acceptedEpoch, Customer: sub.Customer}})
}

// acceptorFor returns the instance to which submissions of a model go: this one if it is the
// acceptor, the one that peers announce, the holder that another one named, or the one that
// should acquire the model.
func (d *Router) acceptorFor(model, holder string) (mesh.Node, bool) {
	if d.acceptorOf(model) != nil {
		return d.mesh.Self(), true
	}
	if n, alive := d.mesh.FindHolder(holder); holder != "" && alive {
		return n, true
	}
	if g, ok := d.mesh.Grants()[model]; ok {
		return g.Node, true
	}
	if d.isStoreDown() {
		return mesh.Node{}, false // nobody can acquire
	}
	return d.acquirer(model)
}

// askAcceptor passes a submission to an instance, which may be this one.
func (d *Router) askAcceptor(ctx context.Context, n mesh.Node, sub *batch.Submission) intakeResponse {
	if n.Name == d.mesh.Self().Name {
		return d.accept(ctx, sub)
	}
	req := intakeRequest{Model: sub.Model, Submission: sub, Customer: sub.Customer}
	if deadline, ok := ctx.Deadline(); ok {
		req.WaitMs = time.Until(deadline).Milliseconds()
	}
	res, err := mesh.Call[intakeRequest, intakeResponse](ctx, d.mesh.Client(), n.Addr, IntakePath, &req)
	if err == nil {
		return *res
	}
	d.logger.Warn("Acceptor did not answer.", "batch", sub.ID, "model", sub.Model, "peer", n.Name, "error", err)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return intakeResponse{Outcome: outcomeElsewhere, Cause: err.Error()} // nothing was sent
	}
	return intakeResponse{Outcome: outcomeUnknown, Cause: err.Error()}
}

// ServeIntake serves a submission that a peer passes on, or its question whether this
// instance accepts the submissions of a model.
func (d *Router) ServeIntake(ctx context.Context, req *intakeRequest) (*intakeResponse, error) {
	if req.Submission == nil {
		res := d.acceptorState(req.Model)
		return &res, nil
	}
	if req.WaitMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond-intakeAnswerMargin)
		defer cancel()
	}
	req.Submission.Customer = req.Customer
	res := d.accept(ctx, req.Submission)
	return &res, nil
}

// acceptorState answers whether this instance accepts the submissions of a model.
func (d *Router) acceptorState(model string) intakeResponse {
	res := intakeResponse{Outcome: outcomeElsewhere, Acquiring: d.isAcquiring(model)}
	if a := d.acceptorOf(model); a != nil {
		res.Outcome, res.Holder, res.Epoch, res.Pending = outcomeStored, d.self, a.epoch, a.pending()
	}
	return res
}

// accept accepts a submission at this instance, which first acquires the model if nobody
// else accepts its submissions.
func (d *Router) accept(ctx context.Context, sub *batch.Submission) intakeResponse {
	if customer, ok := d.runner.CustomerOf(sub.ID); ok {
		if customer != sub.Customer {
			return intakeResponse{Outcome: outcomeConflict}
		}
		return intakeResponse{Outcome: outcomeStored, Holder: d.self}
	}
	a := d.acceptorOf(sub.Model)
	if a == nil {
		if g, ok := d.mesh.Grants()[sub.Model]; ok {
			return intakeResponse{Outcome: outcomeElsewhere, Holder: g.Node.Holder(), Cause: "submissions are accepted by " + g.Node.Name}
		}
		if d.stopping.Load() {
			return intakeResponse{Outcome: outcomeElsewhere, Cause: "the instance is stopping"}
		}
		if d.storeLooksDown() {
			return acquireFailure(errStoreDown)
		}
		if err := d.joinAcquire(ctx, sub.Model); err != nil {
			return acquireFailure(err)
		}
		if a = d.acceptorOf(sub.Model); a == nil {
			return intakeResponse{Outcome: outcomeElsewhere, Cause: "the model was acquired by another instance"}
		}
	}
	return a.submit(ctx, sub)
}

// acquireFailure is the answer to a submission that came with a failed acquire. Nothing of it
// was sent anywhere.
func acquireFailure(err error) intakeResponse {
	var held *heldError
	var refused *kvst.RefusedError
	var unreadable *bstore.DecodeError
	var unsealed *unsealedError
	switch {
	case errors.As(err, &held):
		return intakeResponse{Outcome: outcomeElsewhere, Holder: held.Holder, Cause: err.Error()}
	case errors.As(err, &refused), errors.As(err, &unreadable), errors.As(err, &unsealed), errors.Is(err, errStoreDown), errors.Is(err, errIsolated):
		return intakeResponse{Outcome: outcomeRefused, Cause: err.Error()}
	}
	return intakeResponse{Outcome: outcomeElsewhere, Cause: err.Error()}
}

// acceptorOf returns this instance's acceptor of a model; nil if it has none that accepts.
func (d *Router) acceptorOf(model string) *acceptor {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.acceptors[model]
	if a == nil || d.stopping.Load() || !a.isOpen() {
		return nil
	}
	return a
}

// Grants returns the models whose submissions this instance accepts, with the epochs of their
// records.
func (d *Router) Grants() map[string]int64 {
	out := make(map[string]int64)
	if d.stopping.Load() {
		return out
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, a := range d.acceptors {
		if a.isOpen() {
			out[model] = a.epoch
		}
	}
	return out
}

// RunIntake acquires models without an acceptor if this instance should, and maintains the
// acceptors of this instance, until ctx ends.
func (d *Router) RunIntake(ctx context.Context) {
	if !d.mesh.Self().Accepts {
		return
	}
	go d.listRecords(ctx)
	var strainedSince time.Time
	retryAt := make(map[string]time.Time)
	for sleep.For(ctx, intakeInterval) {
		now := time.Now()
		switch {
		case !d.isCPUStarved():
			strainedSince = time.Time{}
		case strainedSince.IsZero():
			strainedSince = now
		}
		isStrained := !strainedSince.IsZero() && now.Sub(strainedSince) > giveUpAfter
		grants := d.mesh.Grants()
		pending := 0
		for model, a := range d.ownAcceptors() {
			if g, ok := grants[model]; ok && g.Epoch > a.epoch {
				a.end("model acquired by " + g.Node.Name)
				continue
			}
			if isStrained {
				if n, ok := d.acquirer(model); ok && n.Name != d.mesh.Self().Name {
					a.giveUp("short of processor time")
				}
			}
			a.tend(now)
			pending += a.pending()
		}
		d.meter.Set("intake_pending", float64(pending))
		for _, model := range d.orphans(grants) {
			n, ok := d.acquirer(model)
			if !ok || n.Name != d.mesh.Self().Name || now.Before(retryAt[model]) || d.stopping.Load() || d.isStoreDown() || d.isIsolated() {
				continue
			}
			retryAt[model] = now.Add(acquireRetryDelay)
			go func() { _ = d.joinAcquire(ctx, model) }() // logged, and retried here
		}
	}
}

// isIsolated reports whether this instance knows no live peer. It must not acquire then: the
// holder of the record may be alive, and each of them would take the record from the other.
func (d *Router) isIsolated() bool { return len(d.mesh.Alive()) == 0 }

// listRecords has the models with an intake record get an acceptor after a start.
func (d *Router) listRecords(ctx context.Context) {
	defer d.listing.Store(false)
	if !d.mesh.WaitSettled(ctx) {
		return
	}
	for {
		if d.isStoreDown() {
			if !sleep.For(ctx, acquireRetryDelay) {
				return
			}
			continue
		}
		records, err := d.store.RecentIntakes(ctx)
		for _, in := range records {
			d.noteRecord(in)
		}
		var unreadable *bstore.DecodeError
		if errors.As(err, &unreadable) {
			d.logger.Error("Intake record is unreadable; submissions of its model are refused.", "key", unreadable.Key, "error", unreadable.Cause)
		}
		if err == nil || unreadable != nil || !sleep.For(ctx, acquireRetryDelay) {
			return
		}
	}
}

// orphans returns the models that had an acceptor and have none now.
func (d *Router) orphans(grants map[string]mesh.Grant) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, g := range grants {
		d.seenGrants[model] = max(d.seenGrants[model], g.Epoch)
	}
	var out []string
	for model := range d.seenGrants {
		own := d.acceptors[model]
		if _, ok := grants[model]; !ok && (own == nil || !own.isOpen()) {
			out = append(out, model)
		}
	}
	return out
}

// isRecovering reports whether a batch that was accepted may be in the log of an acceptor that
// was lost, and not in the store.
func (d *Router) isRecovering() bool {
	if d.listing.Load() {
		return true
	}
	grants := d.mesh.Grants()
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, epoch := range d.seenGrants {
		own := d.acceptors[model]
		if own != nil && own.isOpen() && own.epoch >= epoch {
			continue
		}
		if g, ok := grants[model]; !ok || g.Epoch < epoch {
			return true
		}
	}
	return false
}

// confirmNotFound decides whether a batch that the store doesn't have is known not to exist:
// it may be accepted and not stored yet. It asks the acceptors of all models, and costs the
// store no call. wasRecovering is what isRecovering reported before the store was asked; it
// returns errRecovering then.
func (d *Router) confirmNotFound(ctx context.Context, req askRequest, wasRecovering bool) (*askResponse, error) {
	d.uncacheHead(req.ID)
	if wasRecovering {
		return nil, errRecovering
	}
	req.OnlyTracked = true
	asked := make(map[string]bool)
	for _, g := range d.mesh.Grants() {
		if asked[g.Node.Name] {
			continue
		}
		asked[g.Node.Name] = true
		res, err := d.askPeer(ctx, g.Node, req)
		if err != nil || res.Owned {
			return res, err
		}
	}
	if res, err := d.askLocal(ctx, req); err != nil || res.Owned {
		return res, err
	}
	return nil, &NotFoundError{ID: req.ID}
}
