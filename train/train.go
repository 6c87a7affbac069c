// Package train is the HTTP API for trainers, which submit groups, publish weight
// versions and pull finished samples. Any entry accepts requests and forwards them to the
// holder of the pool's job.
package train

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/front"
	"github.com/lavendermux/lavendermux/jobs"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// CauseNoHolder means that no entry holds the pool's job, or that its holder cannot
	// be reached.
	CauseNoHolder = "noHolder"
	// noHolderRetry is well below the time in which a lost job is taken over.
	noHolderRetry = 2 * time.Second
	// CauseConnectionLost means that the holder sent no complete response.
	CauseConnectionLost = "cutOff"
	// maxBodyBytes is the maximum size of a request in bytes. It allows for a step of 512
	// groups with long prompts.
	maxBodyBytes = 64 << 20
	// actionTimeout bounds a request at the holder. For a pull, its waiting time is added.
	actionTimeout = 30 * time.Second
	// holderPollInterval is the interval at which a forwarded request checks whether the
	// job has a new holder.
	holderPollInterval = 500 * time.Millisecond
)

var errHolderChanged = errors.New("the job has passed on to another entry")

type (
	// API is the HTTP API for trainers. See New.
	API struct {
		conf         *confs.Cache
		localHandler localHandler
		fleet        fleet
		dial         dialer
		log          *log.Logger
	}

	// Option configures an API.
	Option func(*API)

	// localHandler handles requests for jobs that this entry holds.
	localHandler interface {
		// Handle returns false if this entry does not hold the job.
		Handle(ctx context.Context, job, action string, body []byte) (status int, response []byte, held bool)
	}

	fleet interface {
		Holder(job string) (*wire.EntryState, int64)
	}

	dialer interface {
		Peer(address string) wireconnect.PeerServiceClient
	}
)

// New returns the API for trainers. Requests for jobs that this entry holds go to l.
//
//	t := train.New(conf, local, view, dialer)
//	t.Register(router)
func New(conf *confs.Cache, l localHandler, f fleet, d dialer, opts ...Option) *API {
	t := &API{conf: conf, localHandler: l, fleet: f, dial: d, log: log.New(io.Discard)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(t *API) { t.log = l }
}

// Register adds the routes of the API to r.
func (t *API) Register(r *mux.Router) {
	r.HandleFunc("/v1/subscriptions/{subscription}/{action:groups|weights|pull|ack|position}", t.serve).Methods(http.MethodPost)
	r.HandleFunc("/v1/subscriptions/{subscription}/{action:status}", t.serve).Methods(http.MethodGet)
}

func (t *API) serve(w http.ResponseWriter, r *http.Request) {
	name, action := mux.Vars(r)["subscription"], mux.Vars(r)["action"]
	sub, found := t.conf.Subscription(name)
	if !found {
		front.WriteError(w, "", &fault.NotFoundError{Resource: "subscription " + name})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		front.WriteError(w, "", front.BodyError(err))
		return
	}
	status, response, err := t.forward(r.Context(), jobs.Pool(sub.Pool), name+"/"+action, body)
	if err != nil {
		t.log.Debug("trainer request refused", "subscription", name, "action", action, "err", err)
		front.WriteError(w, "", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(response)
}

// forward handles the request locally or at the holder. All actions are idempotent, so a
// trainer retries if it gets no response.
func (t *API) forward(ctx context.Context, job, action string, body []byte) (int, []byte, error) {
	if status, response, held := t.localHandler.Handle(ctx, job, action, body); held {
		return status, response, nil
	}
	entry, fence := t.fleet.Holder(job)
	if entry == nil {
		return 0, nil, &fault.NotRunError{Cause: CauseNoHolder, Reason: "no entry holds the pool's job now", RetryAfter: noHolderRetry}
	}
	timeout := actionTimeout + pullWait(body)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, cancelForward := context.WithCancelCause(ctx)
	defer cancelForward(nil)
	go t.watchHolder(ctx, job, fence, cancelForward)
	resp, err := t.dial.Peer(entry.GetAddress()).Relay(ctx, connect.NewRequest(&wire.RelayRequest{
		Job:       job,
		Action:    action,
		Body:      body,
		TimeoutMs: timeout.Milliseconds(),
	}))
	if err != nil && errors.Is(context.Cause(ctx), errHolderChanged) {
		err = errHolderChanged
		t.log.Info("forwarded request canceled since the job has a new holder", "job", job, "action", action, "holder", entry.GetInstance(), "fence", fence)
	}
	if err != nil {
		return 0, nil, forwardError(err)
	}
	if resp.Msg.GetNotHolder() {
		return 0, nil, &fault.NotRunError{Cause: CauseNoHolder, Reason: "the job has just moved", RetryAfter: noHolderRetry}
	}
	return int(resp.Msg.GetStatus()), resp.Msg.GetBody(), nil
}

// watchHolder cancels a forwarded request once a later holder is known: the earlier one may
// be paused or disconnected and respond much later or never.
func (t *API) watchHolder(ctx context.Context, job string, fence int64, cancelForward context.CancelCauseFunc) {
	tick := time.NewTicker(holderPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if _, later := t.fleet.Holder(job); later > fence {
				cancelForward(errHolderChanged)
				return
			}
		}
	}
}

// forwardError returns the error for a request without a response from the holder. If no
// connection was established, the request did not run; otherwise its outcome is unknown.
func forwardError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == opDial {
		return &fault.NotRunError{Cause: CauseNoHolder, Reason: "the holder cannot be reached", RetryAfter: noHolderRetry}
	}
	return &fault.UnknownOutcomeError{Cause: CauseConnectionLost, Reason: "the holder gave no answer: " + err.Error()}
}

// opDial is the name of the connect operation in errors of package net.
const opDial = "dial"

// pullWait returns the waiting time of a pull, which extends the timeout of the forwarded
// request. It returns 0 for an invalid body, which the holder rejects.
func pullWait(body []byte) time.Duration {
	var in struct {
		WaitMs int64 `json:"waitMs"`
	}
	if err := json.Unmarshal(body, &in); err != nil || in.WaitMs < 0 {
		return 0
	}
	return min(time.Duration(in.WaitMs)*time.Millisecond, maxPullWait)
}

// maxPullWait is the maximum waiting time of a pull.
const maxPullWait = 5 * time.Minute
