package brun

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

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
)

type (
	statusError struct {
		Status int
	}

	sequenceError struct {
		Want, Got int64
	}
)

// Error names the status.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Error names both events.
func (e *sequenceError) Error() string {
	return fmt.Sprintf("got event %d, but event %d was due", e.Got, e.Want)
}

// events appends the events of a response to the item, each with the weight version that
// generated it.
func (r *Runner) events(b *tracked, it *item, call upstr.Call, a *upstr.Response) error {
	reader := stream.New(a.Body, r.version)
	version := a.Version
	r.endpoints.ObserveVersion(call.Endpoint, b.sub.Model, version)
	var previous time.Time
	start, isProven := time.Now(), false
	route, ok := r.route(b.sub)
	learnsPace := ok && route.Target > 0
	for {
		ev, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if ev.Version > 0 {
			version = ev.Version
			r.endpoints.ObserveVersion(call.Endpoint, b.sub.Model, version)
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
			r.endpoints.ObserveEvent(call.Endpoint, now.Sub(previous), now)
		default:
			r.endpoints.ObserveUnitTime(call.Endpoint, now.Sub(previous))
		}
		previous = now
	}
}

func (r *Runner) addEvent(b *tracked, it *item, ev stream.Event, version int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	it.lastEventAt = time.Now()
	switch {
	case it.done:
		return errEnded
	case it.lastEvent != upstr.FromStart && ev.ID != it.lastEvent+1:
		return &sequenceError{Want: it.lastEvent + 1, Got: ev.ID}
	case version < b.sub.MinVersion:
		return errStaleVersion
	}
	if route, ok := r.route(b.sub); ok && route.SingleVersion && len(it.versions) > 0 && it.oldestVersion() != version {
		r.restart(b, it, "weights changed during the run")
		return errMixedVersions
	}
	r.noteFirstEvent(b, it)
	it.weightsAwaitedSince = time.Time{}
	it.texts = append(it.texts, ev.Data)
	it.lastEvent = ev.ID
	it.runEvents++
	it.addVersion(version)
	return nil
}
