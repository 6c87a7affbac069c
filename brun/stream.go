package brun

import (
	"fmt"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/evbase"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/stream"
	"github.com/lavendermux/lavendermux/upstr"
)

const (
	// maxSilence is how long a run may produce no event if the event interval is unknown, or
	// before its first event: a full engine queues the run.
	maxSilence = 1200 * time.Millisecond
	// minSilence and maxSilentIntervals bound the pause after an event, in time and in event
	// intervals of the engine. Engines produce an event every 30 to 60 ms and pause for at most
	// 200 ms, to process the prompts of a whole step. If an engine fails silently during the
	// longest item of a step, the step is delayed by the detection time.
	minSilence         = 500 * time.Millisecond
	maxSilentIntervals = 12
	// maxSilenceLoading replaces the limit while the engine loads weights of the model, which
	// takes about a second, and longer when several engines load.
	maxSilenceLoading = 5 * time.Second
	// minRunTimeBeforeMove is the time before a run may migrate: enough events to measure the
	// event interval.
	minRunTimeBeforeMove = 400 * time.Millisecond
	// defaultEventInterval is assumed for an engine that has generated nothing yet.
	defaultEventInterval = 40 * time.Millisecond
	// maxDiscardBytes is the maximum number of bytes read from a response that is not a stream.
	maxDiscardBytes = 4 << 10

	statusOK       = http.StatusOK
	statusFailed   = http.StatusInternalServerError
	statusRejected = http.StatusUnprocessableEntity
)

var (
	errEnded         = errors.New("batch has ended")
	errSilent        = errors.New("endpoint is silent, no event within the limit")
	errMigrated      = errors.New("run continues on another endpoint")
	errStaleVersion  = errors.New("weights are older than the batch allows")
	errMixedVersions = errors.New("weights changed, but a single version is asked for")
	errNoEvents      = errors.New("the stream ended without an event")
	errSingleEvent   = errors.New("the stream has a single event, and no other is known")
)

type (
	statusError struct {
		Status int
	}

	// versionError reports an answer with a weight version that no engine can have.
	versionError struct {
		Version int64
	}
)

// Error names the status.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Error names the version.
func (e *versionError) Error() string {
	return fmt.Sprintf("weight version %d doesn't exist", e.Version)
}

// events appends the events of a response to the item, each with the weight version that
// generated it. The first event that isn't valid ends the run: neither it nor anything behind it
// is part of the text.
func (r *Runner) events(b *tracked, it *item, call upstr.Call, a *upstr.Response) error {
	bases := r.endpoints.EventBases(call.Endpoint)
	reader := stream.New(a.Body, r.version, stream.After(call.LastEventID), stream.WithBases(bases))
	version := a.Version
	if err := r.observeVersion(b, call, version); err != nil {
		return err
	}
	var previous time.Time
	start, isProven := time.Now(), false
	route, ok := r.route(b.sub)
	learnsPace := ok && route.Target > 0
	for {
		ev, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return r.checkEnd(b, it, call, bases)
		}
		if err != nil {
			return err
		}
		if ev.Version > 0 {
			version = ev.Version
			if err := r.observeVersion(b, call, version); err != nil {
				return err
			}
		}
		if err := r.addEvent(b, it, ev, version); err != nil {
			return err
		}
		now := time.Now()
		if !isProven && now.Sub(start) >= guard.MinStreamDuration {
			isProven = true
			r.guard.ReportAnswer(it.fp)
		}
		// The first event arrives with the headers or long after them, as the prompt is
		// processed. Measured as an event interval, it would make a new engine look ten times
		// faster than it is and attract the longest items.
		switch {
		case previous.IsZero():
		case learnsPace:
			r.endpoints.ObserveEvent(call.Endpoint, ev.At.Sub(previous), now)
		default:
			r.endpoints.ObserveUnitTime(call.Endpoint, ev.At.Sub(previous))
		}
		previous = ev.At
	}
}

// observeVersion records the weight version of an answer, unless it is one that can't be.
func (r *Runner) observeVersion(b *tracked, call upstr.Call, version int64) error {
	if !r.endpoints.IsPlausible(b.sub.Model, version) {
		return &versionError{Version: version}
	}
	r.endpoints.ObserveVersion(call.Endpoint, b.sub.Model, version)
	return nil
}

// checkEnd returns an error if an answer that ended well can't be the rest of the item's text.
func (r *Runner) checkEnd(b *tracked, it *item, call upstr.Call, bases *evbase.Voter) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if call.LastEventID != upstr.FromStart || it.done {
		return nil
	}
	if len(it.texts) == 0 {
		return errNoEvents
	}
	// Nothing tells a single event from one of a broken endpoint if it isn't known with which ID
	// streams begin. Another run does.
	if len(it.texts) == 1 && it.attempts == 1 && !bases.Leads(it.lastEvent) {
		r.discard(b, it, position{lastEvent: upstr.FromStart}, "single event")
		return errSingleEvent
	}
	return nil
}

func (r *Runner) addEvent(b *tracked, it *item, ev stream.Event, version int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case it.done:
		return errEnded
	case !utf8.ValidString(ev.Data):
		return &stream.InvalidError{Problem: "its data is no UTF-8"}
	case version < b.sub.MinVersion:
		return errStaleVersion
	}
	if route, ok := r.route(b.sub); ok && route.SingleVersion && len(it.versions) > 0 && it.oldestVersion() != version {
		r.restart(b, it, "weights changed during the run")
		return errMixedVersions
	}
	if err := r.reserve(it, ev.Data); err != nil {
		return err
	}
	it.lastEventAt = time.Now()
	r.noteFirstEvent(b, it)
	it.weightsAwaitedSince = time.Time{}
	it.appendText(ev.Data)
	it.lastEvent = ev.ID
	it.runEvents++
	it.addVersion(version)
	return nil
}
