// Package train serves trainers: they submit groups, publish weight versions and
// pull finished samples at any entry, which passes the request to the holder of
// the pool's job.
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
	// CauseNoHolder says that no entry holds the pool's job now.
	CauseNoHolder = "noHolder"
	// noHolderRetry is well within the time in which a lost job is taken over.
	noHolderRetry = 2 * time.Second
	// CauseCutOff says that the holder gave no whole answer.
	CauseCutOff = "cutOff"
	// maxBody bounds a request: a step of 512 groups with long prompts.
	maxBody = 64 << 20
	// actionTimeout bounds all but a pull, which adds its own wait.
	actionTimeout = 30 * time.Second
	// holderEvery is how often a request that waits at the holder looks whether the
	// job has passed on.
	holderEvery = 500 * time.Millisecond
)

var errPassedOn = errors.New("the job has passed on to another entry")

type (
	// Train is the HTTP face towards trainers. See New.
	Train struct {
		conf  *confs.Cache
		local local
		fleet fleet
		dial  dialer
		log   *log.Logger
	}

	// Option changes a Train as New makes it.
	Option func(*Train)

	// local answers in this process what this entry holds.
	local interface {
		// Answer returns false when this entry does not hold the job.
		Answer(ctx context.Context, job, action string, body []byte) (status int, answer []byte, held bool)
	}

	fleet interface {
		Holder(job string) (*wire.EntryState, int64)
	}

	dialer interface {
		Peer(address string) wireconnect.PeerServiceClient
	}
)

// New returns the face towards trainers. Local answers what this entry holds
// itself.
//
//	t := train.New(conf, local, view, dialer)
//	t.Register(router)
func New(conf *confs.Cache, l local, f fleet, d dialer, opts ...Option) *Train {
	t := &Train{conf: conf, local: l, fleet: f, dial: d, log: log.New(io.Discard)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithLog sets where the face logs. The default is nowhere.
func WithLog(l *log.Logger) Option {
	return func(t *Train) { t.log = l }
}

// Register adds the routes of trainers to r.
func (t *Train) Register(r *mux.Router) {
	r.HandleFunc("/v1/subscriptions/{subscription}/{action:groups|weights|pull|ack|position}", t.serve).Methods(http.MethodPost)
	r.HandleFunc("/v1/subscriptions/{subscription}/{action:status}", t.serve).Methods(http.MethodGet)
}

func (t *Train) serve(w http.ResponseWriter, r *http.Request) {
	name, action := mux.Vars(r)["subscription"], mux.Vars(r)["action"]
	sub, found := t.conf.Subscription(name)
	if !found {
		front.Fail(w, "", &fault.NotFoundError{What: "subscription " + name})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		front.Fail(w, "", &fault.FieldError{Field: "body", Problem: "could not be read: " + err.Error()})
		return
	}
	status, answer, err := t.pass(r.Context(), jobs.Pool(sub.Pool), name+"/"+action, body)
	if err != nil {
		t.log.Debug("refused", "subscription", name, "action", action, "err", err)
		front.Fail(w, "", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// pass answers here or at the holder. All actions are idempotent, so a trainer
// whose answer is lost asks again.
func (t *Train) pass(ctx context.Context, job, action string, body []byte) (int, []byte, error) {
	if status, answer, held := t.local.Answer(ctx, job, action, body); held {
		return status, answer, nil
	}
	entry, fence := t.fleet.Holder(job)
	if entry == nil {
		return 0, nil, &fault.NotRunError{Cause: CauseNoHolder, Reason: "no entry holds the pool's job now", RetryAfter: noHolderRetry}
	}
	timeout := actionTimeout + pullWait(body)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, passedOn := context.WithCancelCause(ctx)
	defer passedOn(nil)
	go t.follow(ctx, job, fence, passedOn)
	resp, err := t.dial.Peer(entry.GetAddress()).Relay(ctx, connect.NewRequest(&wire.RelayRequest{
		Job:       job,
		Action:    action,
		Body:      body,
		TimeoutMs: timeout.Milliseconds(),
	}))
	if err != nil && errors.Is(context.Cause(ctx), errPassedOn) {
		err = errPassedOn
		t.log.Info("the holder is given up", "job", job, "action", action, "holder", entry.GetInstance(), "fence", fence)
	}
	if err != nil {
		return 0, nil, unanswered(err)
	}
	if resp.Msg.GetNotHolder() {
		return 0, nil, &fault.NotRunError{Cause: CauseNoHolder, Reason: "the job has just moved", RetryAfter: noHolderRetry}
	}
	return int(resp.Msg.GetStatus()), resp.Msg.GetBody(), nil
}

// follow ends a request at the holder when a later one is known: an earlier one that
// is paused or cut off would answer only much later, or not at all.
func (t *Train) follow(ctx context.Context, job string, fence int64, passedOn context.CancelCauseFunc) {
	tick := time.NewTicker(holderEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if _, later := t.fleet.Holder(job); later > fence {
				passedOn(errPassedOn)
				return
			}
		}
	}
}

// unanswered says what is known when the holder gave no answer: nothing ran if no
// connection to it could be opened.
func unanswered(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == opDial {
		return &fault.NotRunError{Cause: CauseNoHolder, Reason: "the holder cannot be reached", RetryAfter: noHolderRetry}
	}
	return &fault.UnknownOutcomeError{Cause: CauseCutOff, Reason: "the holder gave no answer: " + err.Error()}
}

// opDial is what package net calls the opening of a connection.
const opDial = "dial"

// pullWait reads how long a pull may wait, so that the way to the holder waits
// longer. What cannot be read here is refused there.
func pullWait(body []byte) time.Duration {
	var in struct {
		WaitMs int64 `json:"waitMs"`
	}
	if err := json.Unmarshal(body, &in); err != nil || in.WaitMs < 0 {
		return 0
	}
	return min(time.Duration(in.WaitMs)*time.Millisecond, maxWait)
}

// maxWait bounds how long a pull waits.
const maxWait = 5 * time.Minute
