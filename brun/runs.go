package brun

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/h1resp"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/reqbuf"
	"github.com/lavendermux/lavendermux/stream"
	"github.com/lavendermux/lavendermux/upstr"
)

// schedule starts as many waiting items as endpoints have free slots, the oldest batch first.
func (r *Runner) schedule(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	open := make([]*tracked, 0, len(r.tracked))
	for _, b := range r.tracked {
		if !b.ended {
			open = append(open, b)
		}
	}
	slices.SortFunc(open, func(x, y *tracked) int { return x.record.AcceptedAt.Compare(y.record.AcceptedAt) })
	for _, b := range open {
		route, ok := r.route(b.sub)
		if !ok {
			continue
		}
		r.startItems(ctx, b, route, now)
	}
	r.startCalls(ctx, open, now)
}

func (r *Runner) startItems(ctx context.Context, b *tracked, route *manif.Route, now time.Time) {
	passes, full := make(map[string]*choices), make(map[string]bool)
	waiting := make(waits)
	defer func() { r.logWaits(b, route, waiting, now) }()
	for _, it := range b.startOrder {
		if it.done || it.complete || it.cancel != nil {
			continue
		}
		if now.Before(it.notBefore) {
			waiting[waitRetry]++
			continue
		}
		service := route.PickService(it.ID)
		if full[service] {
			waiting[waitSlot]++
			continue
		}
		c := passes[service]
		if c == nil {
			c = r.newChoices(service, b.sub, now, func(epset.View) bool { return true }, nil, newRunInterval)
			passes[service] = c
		}
		v, wait := r.take(c, b.sub, it, route, now)
		if wait == "" {
			if !r.maySend(b, now) {
				waiting[waitOwnership]++
				return
			}
			r.startItem(ctx, b, it, route, v)
			continue
		}
		waiting[wait]++
		if wait == waitSlot {
			full[service] = true
		}
		if len(full) == len(route.Split) {
			return
		}
	}
}

// startItem sends an item to an endpoint. The caller holds r.mu.
func (r *Runner) startItem(ctx context.Context, b *tracked, it *item, route *manif.Route, v epset.View) {
	r.guard.BeginDeferred(it.fp, v.Endpoint)
	if isPinned(it, route) && !it.hasWeightsOf(v, b.sub.Model) {
		r.restart(b, it, "weights replaced")
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	it.cancel = cancel
	it.moving = false
	it.endpoint = v.Endpoint
	it.startedAt = time.Now()
	it.lastEventAt = it.startedAt
	it.runEvents = 0
	it.before = position{events: len(it.texts), lastEvent: it.lastEvent, versions: it.versions}
	it.attempts++
	r.endpoints.Begin(v.Endpoint)
	call := upstr.Call{
		Endpoint:    v.Endpoint,
		ID:          it.ID,
		Method:      "POST",
		Target:      it.Target,
		Host:        b.sub.Host,
		Header:      it.header(),
		Body:        reqbuf.Of(it.Body),
		Customer:    b.record.Customer,
		LastEventID: it.lastEvent,
	}
	if route.MaxQueue > 0 {
		call.Timeout = route.MaxQueue - b.record.Age(time.Now())
	}
	go r.run(runCtx, b, it, route, call)
}

// restart discards the text of an item, which then begins anew. The caller holds r.mu.
func (r *Runner) restart(b *tracked, it *item, cause string) {
	r.meter.Count("items_restarted_total", 1, "cause", cause)
	r.logger.Info("Item restarted.", "batch", b.sub.ID, "item", it.ID, "cause", cause, "versions", it.versions, "events", len(it.texts))
	it.setTexts(nil)
	it.savedEvents, it.lastEvent, it.versions = 0, upstr.FromStart, nil
}

func (r *Runner) run(ctx context.Context, b *tracked, it *item, route *manif.Route, call upstr.Call) {
	start, before := time.Now(), call.LastEventID
	err := r.stream(ctx, b, it, call)
	if cause := context.Cause(ctx); cause != nil && err != nil && !isInvalid(err) {
		err = cause
	}
	r.endpoints.End(call.Endpoint)
	r.mu.Lock()
	it.cancel(nil)
	it.cancel = nil
	outcome := r.finishRun(b, it, route, call, err)
	r.guard.EndDeferred(it.fp, call.Endpoint)
	last, attempt, versions, events := it.lastEvent, it.attempts, slices.Clone(it.versions), it.runEvents
	r.mu.Unlock()
	r.meter.Count("item_runs_total", 1, "outcome", outcome)
	r.meter.Observe("item_run_seconds", time.Since(start))
	r.logger.Info("Item run.", "batch", b.sub.ID, "item", it.ID, "print", it.fp, "endpoint", call.Endpoint.ID, "from", before,
		"to", last, "outcome", outcome, "error", err, "attempt", attempt, "versions", versions,
		"model", b.sub.Model, "events", events, "took", time.Since(start).Round(time.Millisecond))
	r.Wake()
}

// finishRun handles the end of a run and returns its outcome. The caller holds r.mu.
func (r *Runner) finishRun(b *tracked, it *item, route *manif.Route, call upstr.Call, err error) string {
	now := time.Now()
	var notRun *upstr.NotRunError
	var status *statusError
	switch {
	case it.done || b.ended || b.dropped:
		return "ended"
	case err == nil:
		r.guard.ReportAnswer(it.fp)
		r.completeText(b, it)
		return "completed"
	case errors.As(err, &notRun):
		it.notBefore = now.Add(itemRetryDelay)
		if notRun.Gone {
			r.endpoints.Forget(call.Endpoint)
			r.guard.ReportEndpointExit(call.Endpoint)
			return "endpoint gone"
		}
		r.noteRefusal(call.Endpoint, notRun, now)
		return "not run"
	case errors.As(err, &status):
		if status.Status < http.StatusInternalServerError {
			r.guard.ReportAnswer(it.fp)
		}
		return r.finishStatus(b, it, route, status)
	case errors.Is(err, errMigrated):
		return "moved"
	case errors.Is(err, errTextMemory):
		r.discard(b, it, position{lastEvent: upstr.FromStart}, "no memory for its text")
		it.notBefore = now.Add(textMemoryRetryDelay)
		return "restarted" // the texts of other runs have the memory
	case errors.Is(err, errMixedVersions), errors.Is(err, errSingleEvent):
		return "restarted" // nothing says that the endpoint doesn't work
	case isInvalid(err):
		r.discardForeign(b, it, err)
		if it.noteInvalid(call.Endpoint.ID, now) {
			r.endpoints.MarkFailed(call.Endpoint, now)
		}
		return "invalid"
	default:
		// Without a delay, an endpoint that resets every connection would be sent the same item
		// hundreds of times a second while no other has a free slot.
		it.notBefore = now.Add(itemRetryDelay)
		r.endpoints.MarkFailed(call.Endpoint, now)
		if upstr.IsDisconnect(err) {
			r.guard.ReportDeferredDisconnect(it.ID, it.fp, call.Endpoint, err)
		}
		return "broken"
	}
}

// isInvalid reports whether err means that an endpoint sent what can't be an answer to the item.
func isInvalid(err error) bool {
	var response *h1resp.Error
	var event *stream.InvalidError
	var version *versionError
	var overrun *overrunError
	return errors.As(err, &response) || errors.As(err, &event) || errors.As(err, &version) || errors.As(err, &overrun) || errors.Is(err, errNoEvents)
}

// noteInvalid delays the next run of an item that got an invalid answer, the longer the more
// endpoints gave one. It reports whether that is the endpoint's fault: if several give the item
// such answers, it is the item's, and must not keep work from endpoint after endpoint.
func (it *item) noteInvalid(endpoint string, now time.Time) bool {
	if !slices.Contains(it.invalidAt, endpoint) && len(it.invalidAt) < maxInvalidAt {
		it.invalidAt = append(it.invalidAt, endpoint)
	}
	it.notBefore = now.Add(itemRetryDelay << (2 * (len(it.invalidAt) - 1)))
	return len(it.invalidAt) < maxInvalidAt
}

// noteRefusal has an endpoint avoided: briefly if it answered, and for longer if it is
// unreachable.
func (r *Runner) noteRefusal(e endpt.Endpoint, err *upstr.NotRunError, now time.Time) {
	if err.Status != 0 {
		r.endpoints.MarkBusy(e, now)
		return
	}
	r.endpoints.MarkFailed(e, now)
}

func (r *Runner) finishStatus(b *tracked, it *item, route *manif.Route, e *statusError) string {
	it.notBefore = time.Now().Add(itemRetryDelay)
	if e.Status == statusFailed {
		it.failures++
	}
	if e.Status == statusRejected || it.failures >= route.MaxAttempts {
		b.finish(it, batch.Errored)
		return "errored"
	}
	return "failed"
}

// stream reads the events of one run into the item.
func (r *Runner) stream(ctx context.Context, b *tracked, it *item, call upstr.Call) error {
	a, err := r.sender.Send(ctx, call)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.Status != statusOK {
		if err := conns.Drain(a.Body, maxDiscardBytes); err != nil {
			return err
		}
		return &statusError{Status: a.Status}
	}
	return r.events(b, it, call, a)
}
