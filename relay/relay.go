// Package relay is the client side of requests from an entry to the sidecars of
// endpoints: it routes each request, fails over to another sidecar after a refusal,
// resumes a stream elsewhere when its endpoint fails, and never sends a request twice
// that must not be repeated.
//
// The decisions are those of packages subset, route, eject and retry; this package adds
// the clock, the locks and the network.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/inbuf"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/retry"
	"github.com/lavendermux/lavendermux/route"
	"github.com/lavendermux/lavendermux/subset"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// CauseNoEndpoint reports that no endpoint of the service accepts requests.
	CauseNoEndpoint = "noEndpoint"
	// CauseUnreachable reports that no connection to an endpoint could be opened.
	CauseUnreachable = "unreachable"
	// CauseConnectionLost reports that the connection failed before the answer was complete.
	CauseConnectionLost = "cutOff"
	// CauseWrongRequestID reports that an answer carried the ID of another request.
	CauseWrongRequestID = "mixedUp"
	// CauseInvalidStatus reports that an answer carried a status that no answer has.
	CauseInvalidStatus = "invalidStatus"
	// CauseTokenCount reports that the tokens of an answer do not match its token count.
	CauseTokenCount = "count"
	// CauseOutputLimit reports that an output is longer than its request allows, or that there is
	// no memory for it. Nothing tells which part of it is the request's, so it isn't continued.
	CauseOutputLimit = "outputLimit"
	// CauseDeadline reports that the deadline passed.
	CauseDeadline = "deadline"
	// CauseQuarantined reports that a request is quarantined because endpoints crashed while
	// they ran it.
	CauseQuarantined = "held"

	// defaultSubsetSize is the number of endpoints of a service that one entry talks to.
	// With 350 entries and 700 workers each worker serves 12 entries, and an entry that
	// sends 10 requests per second hears from each of its endpoints about every 2.4 s,
	// well within the lifetime of a load report.
	defaultSubsetSize = 24
	// noEndpointRetryAfter is the time within which a heartbeat announces a new endpoint.
	noEndpointRetryAfter = 3 * time.Second
	// maxRetryWait is the longest delay before a retry in this package; a longer one is
	// left to the caller, who gets the error at once.
	maxRetryWait = 250 * time.Millisecond
	// deadlineMargin is subtracted from each deadline, so that a sidecar's refusal still
	// reaches the caller.
	deadlineMargin = 10 * time.Millisecond
	// defaultTextMemory is the memory for the outputs of running requests. The first freeTextBytes
	// of each don't count. segmentMemory is the memory of a segment besides its text.
	defaultTextMemory = 64 << 20
	freeTextBytes     = 64 << 10
	segmentMemory     = 128
)

type (
	// Client sends requests to the sidecars of all services. See New.
	Client struct {
		self       string
		view       *fleet.View
		dial       dialer
		routeOpts  []route.Option
		subsetSize int
		retryRatio func() float64
		guard      *guard.Tracker
		// texts bounds the memory of the outputs of running requests.
		texts *inbuf.Pool

		mu       sync.Mutex
		rng      *rand.Rand
		services map[string]*serviceState
	}

	// Option configures a Client in New.
	Option func(*Client)

	dialer interface {
		Door(address string) wireconnect.DoorServiceClient
	}

	// serviceState is what the client knows about one service.
	serviceState struct {
		route  *route.Router
		subset *subset.Selector
		// selected is the subset that this entry talks to, as of version and boot.
		selected []*wire.EndpointState
		known    map[string]bool
		version  int64
		boot     int64
		budget   *retry.Budget
	}
)

// New returns the client of the entry instance self, which finds the endpoints in view.
//
//	c := relay.New("entry-1", view, dial.New(), relay.WithLocality("tln-a", "ee-north"))
//	end, err := c.Generate(ctx, "tutor-lm", req, each)
func New(self string, view *fleet.View, dial dialer, opts ...Option) *Client {
	c := &Client{
		self:       self,
		view:       view,
		dial:       dial,
		subsetSize: defaultSubsetSize,
		retryRatio: func() float64 { return defaultRetryRatio },
		guard:      guard.New(log.New(io.Discard), meter.New(), guard.WithoutProbe()),
		texts:      inbuf.New(inbuf.WithTotal(defaultTextMemory)),
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		services:   map[string]*serviceState{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// pick returns the sidecars to try for a request, best first, without those in avoid.
func (c *Client) pick(service string, prefix uint64, avoid map[string]bool) []*wire.EndpointState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceState(service)
	candidates := s.selected
	if len(avoid) > 0 {
		candidates = exclude(s.selected, avoid)
	}
	var out []*wire.EndpointState
	for _, id := range s.route.Pick(candidates, prefix, c.rng, time.Now()) {
		if ep := c.view.Endpoint(id); ep != nil {
			out = append(out, ep)
		}
	}
	return out
}

// serviceState returns the state of a service, after an update of its endpoints. The
// caller holds c.mu.
func (c *Client) serviceState(service string) *serviceState {
	s := c.services[service]
	if s == nil {
		s = &serviceState{
			route:  route.New(c.routeOpts...),
			subset: subset.New(c.subsetSize),
			budget: retry.New(retry.WithRatio(c.retryRatio())),
			known:  map[string]bool{},
		}
		c.services[service] = s
	}
	version, boot := c.view.Cursor()
	if s.selected == nil || version != s.version || boot != s.boot {
		c.updateSubset(s, service)
		s.version, s.boot = version, boot
	}
	return s
}

// updateSubset selects the endpoints that this entry talks to from those that accept
// work, and drops the state of endpoints that have left.
func (c *Client) updateSubset(s *serviceState, service string) {
	endpoints := c.view.Endpoints(service)
	ready := make([]*wire.EndpointState, 0, len(endpoints))
	byID := make(map[string]*wire.EndpointState, len(endpoints))
	for _, ep := range endpoints {
		if ep.GetGone() || ep.GetDraining() {
			continue
		}
		ready = append(ready, ep)
		byID[ep.GetInstance()] = ep
	}
	s.selected = s.subset.PickByLocality(c.self, c.view.Entries(), ready)
	if s.selected == nil {
		// Nil means that nothing was selected yet.
		s.selected = []*wire.EndpointState{}
	}
	for id := range s.known {
		if byID[id] == nil {
			s.route.Forget(id)
			delete(s.known, id)
		}
	}
	for id := range byID {
		s.known[id] = true
	}
}

func (c *Client) recordSent(service, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceState(service).route.Sent(id, time.Now())
}

func (c *Client) updateLoad(service, id string, load *wire.DoorLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceState(service).route.UpdateLoad(id, load)
}

// recordOutcome updates load and ejection state after a request.
//
// A caller that hangs up, and a deadline that a live sidecar reports, are not failures of
// the endpoint: otherwise a few impatient callers would have healthy endpoints ejected.
// An endpoint that does not respond reaches the deadline without a report, and that is a
// failure.
func (c *Client) recordOutcome(ctx context.Context, service, id string, load *wire.DoorLoad, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceState(service)
	var unknown *fault.UnknownOutcomeError
	isDeadline := errors.As(err, &unknown) && unknown.Cause == CauseDeadline
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		s.route.UpdateLoad(id, load)
	case isDeadline && load != nil:
		s.route.Observe(id, load, nil, time.Now())
	default:
		s.route.Observe(id, load, err, time.Now())
	}
}

// begin registers a request that goes to a sidecar, unless it is quarantined. Deferred work never
// is (package poison).
func (c *Client) begin(fp reqfp.Fingerprint, deferred bool, sidecar *wire.EndpointState) error {
	e := endpt.Endpoint{ID: sidecar.GetInstance()}
	if deferred {
		c.guard.BeginDeferred(fp, e)
		return nil
	}
	err := c.guard.Begin(fp, e)
	var quarantine *poison.QuarantineError
	if errors.As(err, &quarantine) {
		return &fault.NotRunError{Cause: CauseQuarantined, Reason: quarantine.Error(), RetryAfter: quarantine.RetryAfter}
	}
	return err
}

// end reports to the guard how a request ended at a sidecar. A server error says
// nothing, as the endpoint may have failed before it ran any of the request.
func (c *Client) end(ctx context.Context, id string, fp reqfp.Fingerprint, deferred bool, sidecar *wire.EndpointState, err error, isServerError bool) {
	var unknown *fault.UnknownOutcomeError
	switch {
	case isServerError:
	case err == nil:
		c.guard.ReportAnswer(fp)
	case errors.As(err, &unknown) && unknown.CrashedIncarnation != "":
		crashed := endpt.Endpoint{ID: unknown.CrashedIncarnation, Service: sidecar.GetService()}
		if deferred {
			c.guard.ReportDeferredDisconnect(id, fp, crashed, err)
		} else {
			c.guard.ReportDisconnectAndWait(ctx, id, fp, crashed, err)
		}
	}
	e := endpt.Endpoint{ID: sidecar.GetInstance()}
	if deferred {
		c.guard.EndDeferred(fp, e)
	} else {
		c.guard.End(fp, e)
	}
}

// isFinal reports whether no other sidecar could do better.
func isFinal(err error) bool {
	var notRun *fault.NotRunError
	var unknown *fault.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return unknown.Cause == CauseOutputLimit
	}
	return errors.As(err, &notRun) && (notRun.Cause == CauseNoEndpoint || notRun.Cause == CauseQuarantined)
}

func (c *Client) recordRequest(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceState(service).budget.Deposit()
}

// allowFailover reports whether a refused request may go to another sidecar at once.
func (c *Client) allowFailover(service string, err error, attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serviceState(service).budget.Failover(err, attempt)
}

// allowRetry reports whether a request may be sent once more, and after which delay.
func (c *Client) allowRetry(service string, err error, idempotent bool, attempt int) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, allowed := c.serviceState(service).budget.Retry(err, idempotent, attempt, c.rng)
	return wait, allowed && wait <= maxRetryWait
}

func exclude(eps []*wire.EndpointState, avoid map[string]bool) []*wire.EndpointState {
	var out []*wire.EndpointState
	for _, ep := range eps {
		if !avoid[ep.GetInstance()] {
			out = append(out, ep)
		}
	}
	return out
}

// transportError returns what is known after a call without an answer of the sidecar.
// Only a connection that could not be opened proves that the request did not run.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == opDial {
		return &fault.NotRunError{Cause: CauseUnreachable, Reason: op.Error(), RetryAfter: maxRetryWait}
	}
	return &fault.UnknownOutcomeError{Cause: CauseConnectionLost, Reason: err.Error()}
}

// opDial is the Op of a net.OpError for a failed dial.
const opDial = "dial"
