// Package action answers a trainer's requests at the holder of the pool's job.
package action

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/feed"
	"github.com/lavendermux/lavendermux/front"
	"github.com/lavendermux/lavendermux/grpreq"
	"github.com/lavendermux/lavendermux/ledger"
	"github.com/lavendermux/lavendermux/sample"
	"github.com/lavendermux/lavendermux/strict"
)

const (
	// CauseOvertaken says that a later holder has taken over.
	CauseOvertaken = "overtaken"
	// overtakenRetry is the time in which the later holder is known.
	overtakenRetry = 2 * time.Second

	defaultMax = 256
	mostMax    = 4096
	mostWaitMs = int64(5 * time.Minute / time.Millisecond)
	maxBody    = 64 << 20
	// storeTimeout bounds the question whether a version is in the weight store.
	storeTimeout = 2 * time.Second
)

type (
	// Action answers for the subscriptions that a holder has. See New.
	Action struct {
		find  feeds
		conf  *confs.Cache
		store store
	}

	// Option changes an Action as New makes it.
	Option func(*Action)

	// store is the weight store. Its zero, anything, has every version.
	store interface {
		Size(ctx context.Context, model, version string) (int64, error)
	}

	anything struct{}

	feeds interface {
		Feed(name string) (*feed.Feed, error)
	}

	groupsRequest struct {
		Groups []grpreq.Group `json:"groups"`
	}

	groupsResponse struct {
		Accepted int `json:"accepted"`
		Known    int `json:"known"`
		// Recorded is false while the key-value service is silent: should the
		// holder be lost before it answers, and no disk have a copy, the groups are
		// lost too, and later answers owe fewer samples than the trainer lacks.
		Recorded bool `json:"recorded"`
	}

	weightsRequest struct {
		Version string `json:"version"`
	}

	weightsResponse struct {
		Published string `json:"published"`
	}

	pullRequest struct {
		Cursor string `json:"cursor"`
		// Published is the trainer's newest version, a decimal number; optional.
		Published string `json:"published"`
		Max       int    `json:"max"`
		WaitMs    int64  `json:"waitMs"`
	}

	positionResponse struct {
		Cursor string `json:"cursor"`
	}

	ackRequest struct {
		Offer int64 `json:"offer"`
	}
)

// New returns the answers for the subscriptions that find has.
//
//	a := action.New(holder, conf)
//	status, body := a.Answer(ctx, "drafts/pull", raw)
func New(find feeds, conf *confs.Cache, opts ...Option) *Action {
	a := &Action{find: find, conf: conf, store: anything{}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// WithStore sets the weight store, in which a version must be before a trainer
// publishes it. By default it is not looked for.
func WithStore(s store) Option {
	return func(a *Action) { a.store = s }
}

func (anything) Size(context.Context, string, string) (int64, error) { return 0, nil }

// Answer does what action, "<subscription>/<verb>", asks for and returns an HTTP
// status and body.
func (a *Action) Answer(ctx context.Context, action string, body []byte) (int, []byte) {
	name, verb, _ := strings.Cut(action, "/")
	out, err := a.do(ctx, name, verb, body)
	if err != nil {
		return failure(err)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return failure(errors.Wrap(err, "encoding an answer"))
	}
	return http.StatusOK, raw
}

func failure(err error) (int, []byte) {
	return front.Body("", translate(err))
}

func translate(err error) error {
	var (
		overtaken *ledger.OvertakenError
		old       *ledger.OldCursorError
	)
	switch {
	case errors.As(err, &overtaken):
		return &fault.NotRunError{Cause: CauseOvertaken, Reason: overtaken.Error(), RetryAfter: overtakenRetry}
	case errors.As(err, &old):
		return &fault.FieldError{Field: "cursor", Problem: old.Error()}
	}
	return err
}

func (a *Action) do(ctx context.Context, name, verb string, body []byte) (any, error) {
	f, err := a.find.Feed(name)
	if err != nil {
		return nil, err
	}
	switch verb {
	case "groups":
		return a.groups(ctx, f, body)
	case "weights":
		return a.weights(ctx, f, body)
	case "pull":
		return pull(ctx, f, body)
	case "ack":
		return ack(ctx, f, body)
	case "position":
		return positionResponse{Cursor: f.Position()}, nil
	case "status":
		return f.Stats(), nil
	}
	return nil, &fault.NotFoundError{What: "action " + verb}
}

// groups fills in what the trainer left to the subscription and the pool.
func (a *Action) groups(ctx context.Context, f *feed.Feed, body []byte) (any, error) {
	var in groupsRequest
	if err := strict.Decode(body, &in, strict.WithMaxBytes(maxBody)); err != nil {
		return nil, err
	}
	sub, _ := a.conf.Subscription(f.Name())
	p, _ := a.conf.Pool(sub.Pool)
	var bad fault.FieldsError
	for i := range in.Groups {
		g := &in.Groups[i]
		if g.Samples == 0 {
			g.Samples = sub.GroupSize
		}
		if g.MaxTokens == 0 {
			g.MaxTokens = int64(p.MaxOutput)
		}
		if g.MaxTokens > int64(p.MaxOutput) {
			bad.Addf(fmt.Sprintf("groups[%d].maxTokens", i), "is %d, above the pool's maxOutput of %d", g.MaxTokens, p.MaxOutput)
		}
	}
	if err := bad.Err(); err != nil {
		return nil, err
	}
	n, recorded, err := f.Submit(ctx, in.Groups)
	return groupsResponse{Accepted: n, Known: len(in.Groups) - n, Recorded: recorded}, err
}

func (a *Action) weights(ctx context.Context, f *feed.Feed, body []byte) (any, error) {
	var in weightsRequest
	if err := strict.Decode(body, &in); err != nil {
		return nil, err
	}
	version, err := sample.ParseVersion(in.Version)
	if err != nil {
		return nil, err
	}
	if err := a.stored(ctx, f.Model(), in.Version); err != nil {
		return nil, err
	}
	if err := f.Publish(ctx, version); err != nil {
		return nil, err
	}
	return weightsResponse{Published: fmt.Sprint(f.Published())}, nil
}

// stored refuses a version that the weight store does not have: every worker
// would fail to load it, while the trainer's samples already counted as older. A
// store that gives no answer says nothing against the version.
func (a *Action) stored(ctx context.Context, model, version string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := a.store.Size(ctx, model, version)
	var missing *fault.NotFoundError
	if errors.As(err, &missing) {
		return &fault.FieldError{Field: "version", Problem: "the weight store has no version " + version + " of " + model}
	}
	return nil
}

func pull(ctx context.Context, f *feed.Feed, body []byte) (any, error) {
	in := pullRequest{Max: defaultMax}
	if err := strict.Decode(body, &in, strict.WithMaxBytes(maxBody)); err != nil {
		return nil, err
	}
	switch {
	case in.Max < 1 || in.Max > mostMax:
		return nil, &fault.FieldError{Field: "max", Problem: fmt.Sprintf("is %d, not 1 to %d", in.Max, mostMax)}
	case in.WaitMs < 0 || in.WaitMs > mostWaitMs:
		return nil, &fault.FieldError{Field: "waitMs", Problem: fmt.Sprintf("is %d, not 0 to %d", in.WaitMs, mostWaitMs)}
	}
	published := int64(0)
	if in.Published != "" {
		var err error
		if published, err = sample.ParseVersion(in.Published); err != nil {
			return nil, &fault.FieldError{Field: "published", Problem: "is not a decimal number"}
		}
	}
	return f.Pull(ctx, in.Cursor, published, in.Max, time.Duration(in.WaitMs)*time.Millisecond)
}

func ack(ctx context.Context, f *feed.Feed, body []byte) (any, error) {
	var in ackRequest
	if err := strict.Decode(body, &in); err != nil {
		return nil, err
	}
	return struct{}{}, f.Ack(ctx, in.Offer)
}
