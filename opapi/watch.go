package opapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/reply"
	"github.com/lavendermux/lavendermux/span"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	defaultWait = 30 * time.Second
	// maxWait keeps a watch shorter than the balancer's patience.
	maxWait = time.Minute
)

type (
	// changes is the answer to a watch.
	changes struct {
		// Revision is what to continue from.
		Revision int64 `json:"revision"`
		// Whole says that items are all there are, not only what changed.
		Whole bool `json:"whole"`
		// Items are resources that were created or replaced, or deleted, which
		// they then say.
		Items []object.Object `json:"items"`
	}

	query struct {
		kind  string
		name  string
		after int64
		wait  time.Duration
	}
)

func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		reply.Fail(w, err)
		return
	}
	select {
	case a.watches <- struct{}{}:
		defer func() { <-a.watches }()
	default:
		reply.Fail(w, reply.Busy("tooManyWatches", "as many watches wait here as this entry allows", busyAfter))
		return
	}
	a.mark(w, SourceLocal)
	reply.JSON(w, http.StatusOK, a.await(r.Context(), q))
}

// await returns as soon as something has changed, or when the time is over.
func (a *API) await(ctx context.Context, q query) changes {
	ctx, cancel := context.WithTimeout(ctx, q.wait)
	defer cancel()
	for {
		changed := a.cache.Changed()
		found := a.since(q)
		if len(found.Items) > 0 || (found.Whole && found.Revision > q.after) {
			return found
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found
		}
	}
}

func (a *API) since(q query) changes {
	resp := a.cache.Fetch(q.after)
	found := changes{Revision: max(resp.GetRevision(), q.after), Whole: resp.GetWhole(), Items: []object.Object{}}
	for _, r := range resp.GetResources() {
		// What this entry wrote itself can be ahead of the revision to continue
		// from; told now it would be told again and again until the rest comes.
		ahead := r.GetRevision() > resp.GetRevision() && !resp.GetWhole()
		hidden := !slices.Contains(object.Kinds, r.GetKind())
		if ahead || hidden || (q.kind != "" && r.GetKind() != q.kind) || (q.name != "" && r.GetName() != q.name) {
			continue
		}
		found.Items = append(found.Items, a.shown(r))
	}
	return found
}

func (a *API) shown(r *wire.Resource) object.Object {
	o, ok := a.cache.Object(r.GetKind(), r.GetName())
	if ok && o.Revision == r.GetRevision() {
		return o
	}
	return object.Object{
		APIVersion: object.APIVersion,
		Kind:       r.GetKind(),
		Name:       r.GetName(),
		Revision:   r.GetRevision(),
		Deleted:    r.GetDeleted(),
	}
}

func parseQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	q := query{kind: values.Get("kind"), name: values.Get("name"), wait: defaultWait}
	var bad fault.FieldsError
	bad.Merge("", checkKind(q.kind))
	if text := values.Get("after"); text != "" {
		after, err := strconv.ParseInt(text, revisionBase, revisionBits)
		bad.Check(err == nil && after >= 0, "after", "is no revision")
		q.after = after
	}
	if text := values.Get("wait"); text != "" {
		wait, err := span.Parse(text)
		bad.Merge("wait", err)
		q.wait = min(wait.Std(), maxWait)
	}
	return q, bad.Err()
}
