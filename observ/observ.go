// Package observ distributes the events of an entry (live requests, samples, trainer
// time and automatic actions) to the counts of service-level objectives, the metrics and
// the audit log.
package observ

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/audit"
	"github.com/lavendermux/lavendermux/counts"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/servce"
)

const (
	outcomeComplete   = "whole"
	outcomeNotRun     = "notRun"
	outcomeUnknown    = "outcomeUnknown"
	outcomeInvalid    = "invalid"
	outcomeCallerGone = "callerLeft"
	causeNone         = "none"
)

type (
	// Observer distributes events; safe for concurrent use. See New.
	Observer struct {
		conf    config
		counts  *counts.Recorder
		meter   *meter.Meter
		reasons *audit.Log

		mu      sync.Mutex
		changed <-chan struct{}
		// owners are the resources, by the service that they declare; nil until the
		// first use after a change of the configuration.
		owners map[string]resourceRef
	}

	config interface {
		Pools() map[string]pool.Pool
		Services() map[string]servce.Service
		Changed() <-chan struct{}
		Revision() int64
	}

	resourceRef struct {
		kind string
		name string
	}
)

// New returns an observer that passes events to c, m and r.
//
//	o := observ.New(cache, counts.New(id, cache), meter.New(), audit.New(id))
//	f := front.New(relay, cache, front.WithRecorder(o))
func New(conf config, c *counts.Recorder, m *meter.Meter, r *audit.Log) *Observer {
	return &Observer{conf: conf, counts: c, meter: m, reasons: r}
}

// Live records a live request and its outcome. See package counts.
func (o *Observer) Live(caller, service string, took time.Duration, err error) {
	o.counts.Live(caller, service, took, err)
	outcome, cause := classify(err)
	o.meter.Count("live_requests_total", 1, "service", service, "outcome", outcome, "cause", cause)
	o.meter.Count("caller_requests_total", 1, "caller", caller, "outcome", outcome)
	if err == nil {
		o.meter.Observe("live_latency_seconds", took, "service", service)
		return
	}
	if outcome != outcomeNotRun && outcome != outcomeUnknown {
		return
	}
	if owner, ok := o.owner(service); ok {
		o.reasons.Record(owner.kind, owner.name, acts.Action{
			Verb:    acts.VerbReject,
			Summary: "live requests answered " + outcome,
			Cause:   cause,
			Reason:  err.Error(),
		})
	}
}

// Sample records a delivered sample. See package counts.
func (o *Observer) Sample(subscription string, staleness, bound int64, endpoint string) {
	o.counts.Sample(subscription, staleness, bound, endpoint)
	o.meter.Count("samples_delivered_total", 1, "subscription", subscription)
	o.meter.Set("sample_staleness_versions", float64(staleness), "subscription", subscription)
}

// Idle records a period of a trainer's time. See package counts.
func (o *Observer) Idle(subscription string, waited, whole time.Duration, who string) {
	o.counts.Idle(subscription, waited, whole, who)
	o.meter.Count("trainer_idle_milliseconds_total", waited.Milliseconds(), "subscription", subscription)
	o.meter.Count("trainer_time_milliseconds_total", whole.Milliseconds(), "subscription", subscription)
}

// Action records an automatic action on a resource and its reason.
func (o *Observer) Action(kind, name string, d acts.Action) {
	o.reasons.Record(kind, name, d)
	o.meter.Count("deeds_total", 1, "verb", d.Verb, "cause", d.Cause)
}

// Register adds the routes of the counts, the audit log and the metrics to r. Each
// function of values is called before metrics are served, to set the values that are
// computed on demand.
func (o *Observer) Register(r *mux.Router, values ...func(set func(name string, v float64, labels ...string))) {
	o.counts.Register(r)
	o.reasons.Register(r)
	o.meter.Register(r, func() {
		o.meter.Set("configuration_revision", float64(o.conf.Revision()))
		for _, v := range values {
			v(o.meter.Set)
		}
	})
}

// owner returns the resource that declares a service. It uses an index that is rebuilt
// after a change of the configuration: a scan of all resources for each rejected request
// would cost the most while the entry is overloaded.
func (o *Observer) owner(service string) (resourceRef, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-o.changed:
		o.owners = nil
	default:
	}
	if o.owners == nil {
		o.changed = o.conf.Changed()
		o.owners = make(map[string]resourceRef)
		for name, s := range o.conf.Services() {
			o.owners[s.Service] = resourceRef{kind: object.KindService, name: name}
		}
		for name, p := range o.conf.Pools() {
			o.owners[p.Service] = resourceRef{kind: object.KindPool, name: name}
		}
	}
	found, ok := o.owners[service]
	return found, ok
}

func classify(err error) (outcome, cause string) {
	var (
		notRun  *fault.NotRunError
		unknown *fault.UnknownOutcomeError
		field   *fault.FieldError
		missing *fault.NotFoundError
	)
	switch {
	case err == nil:
		return outcomeComplete, causeNone
	case errors.As(err, &notRun):
		return outcomeNotRun, notRun.Cause
	case errors.As(err, &unknown):
		return outcomeUnknown, unknown.Cause
	case errors.As(err, &field), errors.As(err, &missing):
		return outcomeInvalid, causeNone
	case errors.Is(err, context.Canceled):
		return outcomeCallerGone, causeNone
	}
	return outcomeUnknown, "internal"
}
