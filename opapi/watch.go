package opapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	defaultWait = 30 * time.Second
	// maxWait keeps a long poll below the idle timeout of the load balancer.
	maxWait = time.Minute
)

type (
	// watchResponse is the response to a watch.
	watchResponse struct {
		// Revision is the revision to continue from.
		Revision int64 `json:"revision"`
		// Complete reports that Items is a full snapshot rather than the changes only.
		Complete bool `json:"whole"`
		// Items are the resources that were created, replaced, or deleted, which have
		// Deleted set.
		Items []object.Object `json:"items"`
	}

	watchQuery struct {
		kind  string
		name  string
		after int64
		wait  time.Duration
	}
)

func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		apierr.WriteError(w, err)
		return
	}
	if err := a.checkLoaded(); err != nil {
		apierr.WriteError(w, err)
		return
	}
	select {
	case a.watchSlots <- struct{}{}:
		defer func() { <-a.watchSlots }()
	default:
		apierr.WriteError(w, apierr.Busy("tooManyWatches", "as many watches wait here as this entry allows", retryAfter))
		return
	}
	a.setSourceHeaders(w, SourceLocal)
	apierr.WriteJSON(w, http.StatusOK, a.waitForChanges(r.Context(), q))
}

// waitForChanges blocks until there are changes that match q or its wait is over.
func (a *API) waitForChanges(ctx context.Context, q watchQuery) watchResponse {
	ctx, cancel := context.WithTimeout(ctx, q.wait)
	defer cancel()
	for {
		changed := a.cache.Changed()
		found := a.changesSince(q)
		if len(found.Items) > 0 || (found.Complete && found.Revision > q.after) {
			return found
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found
		}
	}
}

func (a *API) changesSince(q watchQuery) watchResponse {
	resp := a.cache.Fetch(q.after)
	found := watchResponse{Revision: max(resp.GetRevision(), q.after), Complete: resp.GetWhole(), Items: []object.Object{}}
	for _, r := range resp.GetResources() {
		// A write through this entry can be ahead of the revision to continue from.
		// Returned now, it would be returned again by each watch until the cache has
		// caught up.
		ahead := r.GetRevision() > resp.GetRevision() && !resp.GetWhole()
		hidden := !slices.Contains(object.Kinds, r.GetKind())
		if ahead || hidden || (q.kind != "" && r.GetKind() != q.kind) || (q.name != "" && r.GetName() != q.name) {
			continue
		}
		found.Items = append(found.Items, a.publicObject(r))
	}
	return found
}

func (a *API) publicObject(r *wire.Resource) object.Object {
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

func parseQuery(r *http.Request) (watchQuery, error) {
	values := r.URL.Query()
	q := watchQuery{kind: values.Get("kind"), name: values.Get("name"), wait: defaultWait}
	var bad fault.FieldsError
	bad.Merge("", checkKind(q.kind))
	if text := values.Get("after"); text != "" {
		after, err := strconv.ParseInt(text, revisionBase, revisionBits)
		bad.Check(err == nil && after >= 0, "after", "is no revision")
		q.after = after
	}
	if text := values.Get("wait"); text != "" {
		wait, err := xtime.Parse(text)
		bad.Merge("wait", err)
		q.wait = min(wait.Std(), maxWait)
	}
	return q, bad.Err()
}
