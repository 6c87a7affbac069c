// Package action handles trainers' requests on the entry that holds the pool's job.
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
	// CauseFenced means that a later holder has taken over.
	CauseFenced = "overtaken"
	// fencedRetry is the time after which all entries know the later holder.
	fencedRetry = 2 * time.Second

	defaultPullSamples = 256
	maxPullSamples     = 4096
	maxWaitMs          = int64(5 * time.Minute / time.Millisecond)
	maxBodyBytes       = 64 << 20
	// weightStoreTimeout bounds the check whether a version is in the weight store.
	weightStoreTimeout = 2 * time.Second
)

type (
	// Handler handles requests for the subscriptions of a holder. See New.
	Handler struct {
		feeds       feedFinder
		conf        *confs.Cache
		weightStore weightStore
	}

	// Option configures a Handler.
	Option func(*Handler)

	// weightStore is the weight store. The default, anyVersion, has every version.
	weightStore interface {
		Size(ctx context.Context, model, version string) (int64, error)
	}

	anyVersion struct{}

	feedFinder interface {
		Feed(name string) (*feed.Feed, error)
	}

	groupsRequest struct {
		Groups []grpreq.Group `json:"groups"`
	}

	groupsResponse struct {
		Accepted int `json:"accepted"`
		Known    int `json:"known"`
		// Recorded is false if the metadata store did not respond. If the holder is lost
		// before the store recovers and no disk has a replica, the groups are lost too,
		// and later offers report fewer open samples than the trainer lacks.
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

// New returns a handler for the subscriptions that feeds returns.
//
//	a := action.New(holder, conf)
//	status, body := a.Handle(ctx, "drafts/pull", raw)
func New(feeds feedFinder, conf *confs.Cache, opts ...Option) *Handler {
	a := &Handler{feeds: feeds, conf: conf, weightStore: anyVersion{}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// WithWeightStore sets the weight store, which must have a version before a trainer may publish
// it. By default this is not checked.
func WithWeightStore(s weightStore) Option {
	return func(a *Handler) { a.weightStore = s }
}

func (anyVersion) Size(context.Context, string, string) (int64, error) { return 0, nil }

// Handle executes action, which has the form "<subscription>/<verb>", and returns an
// HTTP status and body.
func (a *Handler) Handle(ctx context.Context, action string, body []byte) (int, []byte) {
	name, verb, _ := strings.Cut(action, "/")
	out, err := a.dispatch(ctx, name, verb, body)
	if err != nil {
		return errorResponse(err)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return errorResponse(errors.Wrap(err, "encoding an answer"))
	}
	return http.StatusOK, raw
}

func errorResponse(err error) (int, []byte) {
	return front.Body("", toFault(err))
}

func toFault(err error) error {
	var (
		overtaken *ledger.FencedError
		old       *ledger.OldCursorError
	)
	switch {
	case errors.As(err, &overtaken):
		return &fault.NotRunError{Cause: CauseFenced, Reason: overtaken.Error(), RetryAfter: fencedRetry}
	case errors.As(err, &old):
		return &fault.FieldError{Field: "cursor", Problem: old.Error()}
	}
	return err
}

func (a *Handler) dispatch(ctx context.Context, name, verb string, body []byte) (any, error) {
	f, err := a.feeds.Feed(name)
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
	return nil, &fault.NotFoundError{Resource: "action " + verb}
}

// groups submits groups, with defaults from the subscription and the pool.
func (a *Handler) groups(ctx context.Context, f *feed.Feed, body []byte) (any, error) {
	var in groupsRequest
	if err := strict.Decode(body, &in, strict.WithMaxBytes(maxBodyBytes)); err != nil {
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
			g.MaxTokens = int64(p.MaxOutputTokens)
		}
		if g.MaxTokens > int64(p.MaxOutputTokens) {
			bad.Addf(fmt.Sprintf("groups[%d].maxTokens", i), "is %d, above the pool's maxOutput of %d", g.MaxTokens, p.MaxOutputTokens)
		}
	}
	if err := bad.Err(); err != nil {
		return nil, err
	}
	n, recorded, err := f.Submit(ctx, in.Groups)
	return groupsResponse{Accepted: n, Known: len(in.Groups) - n, Recorded: recorded}, err
}

func (a *Handler) weights(ctx context.Context, f *feed.Feed, body []byte) (any, error) {
	var in weightsRequest
	if err := strict.Decode(body, &in); err != nil {
		return nil, err
	}
	version, err := sample.ParseVersion(in.Version)
	if err != nil {
		return nil, err
	}
	if err := a.checkStored(ctx, f.Model(), in.Version); err != nil {
		return nil, err
	}
	if err := f.Publish(ctx, version); err != nil {
		return nil, err
	}
	return weightsResponse{Published: fmt.Sprint(f.Published())}, nil
}

// checkStored returns an error if the weight store does not have the version: every worker
// would fail to load it, while the trainer's samples would already count as older. If
// the store does not respond, the version is accepted.
func (a *Handler) checkStored(ctx context.Context, model, version string) error {
	ctx, cancel := context.WithTimeout(ctx, weightStoreTimeout)
	defer cancel()
	_, err := a.weightStore.Size(ctx, model, version)
	var missing *fault.NotFoundError
	if errors.As(err, &missing) {
		return &fault.FieldError{Field: "version", Problem: "the weight store has no version " + version + " of " + model}
	}
	return nil
}

func pull(ctx context.Context, f *feed.Feed, body []byte) (any, error) {
	in := pullRequest{Max: defaultPullSamples}
	if err := strict.Decode(body, &in, strict.WithMaxBytes(maxBodyBytes)); err != nil {
		return nil, err
	}
	switch {
	case in.Max < 1 || in.Max > maxPullSamples:
		return nil, &fault.FieldError{Field: "max", Problem: fmt.Sprintf("is %d, not 1 to %d", in.Max, maxPullSamples)}
	case in.WaitMs < 0 || in.WaitMs > maxWaitMs:
		return nil, &fault.FieldError{Field: "waitMs", Problem: fmt.Sprintf("is %d, not 0 to %d", in.WaitMs, maxWaitMs)}
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
