package opapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/condit"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/schema"
	"github.com/lavendermux/lavendermux/status"
)

// statusTimeout bounds the request to a hub, whose round trip is a few milliseconds.
const statusTimeout = 2 * time.Second

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	o, source, err := a.read(r.Context(), kind, name)
	a.setSourceHeaders(w, source)
	if err != nil {
		apierr.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	propagation, propagationErr := a.propagation(ctx, o.Revision)
	s := status.Status{
		Kind:             kind,
		Name:             name,
		AcceptedRevision: o.Revision,
		Operation:        o.Operation,
		Deleted:          o.Deleted,
		Source:           source,
		Propagation:      propagation,
		Conditions:       a.conditionsOf(o, source),
	}
	if s.Propagation.Lagging == nil {
		s.Propagation.Lagging = []string{}
	}
	if propagationErr != nil {
		s.Conditions = append(s.Conditions, condit.Condition{
			Cause:  "membershipSilent",
			Reason: "no hub of this data centre says who has which revision: " + propagationErr.Error(),
		})
	}
	apierr.WriteJSON(w, http.StatusOK, s)
}

// conditionsOf returns the conditions that keep o from taking effect as accepted.
func (a *API) conditionsOf(o object.Object, source string) []condit.Condition {
	all := []condit.Condition{}
	if source == SourceLocal {
		all = append(all, condit.Condition{
			Cause:  "keyValueDown",
			Reason: fmt.Sprintf("the key-value service gives no answer; this is what was in force here at revision %d", a.cache.Revision()),
		})
	}
	if err := a.cache.ParseError(o.Kind, o.Name); err != nil {
		all = append(all, condit.Condition{
			Cause:  "unreadable",
			Reason: "the stored resource cannot be read, an earlier revision stays in force; apply it again: " + err.Error(),
		})
	}
	if o.Deleted {
		return all
	}
	if err := a.danglingError(o); err != nil {
		all = append(all, condit.Condition{Cause: "dangling", Reason: err.Error()})
	}
	return append(all, a.conditions(o.Kind, o.Name)...)
}

func (a *API) danglingError(o object.Object) error {
	spec, err := schema.Read(o.Kind, o.Spec)
	if err != nil {
		return err
	}
	return schema.CheckReferences(spec, a.cache.Spec)
}
