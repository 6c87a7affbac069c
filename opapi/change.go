package opapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/schema"
	"github.com/lavendermux/lavendermux/strict"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	revisionBase = 10
	revisionBits = 64
)

func (a *API) put(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	operationID := a.operationID(w, r)
	next, spec, err := decodePut(r, operationID)
	if err != nil {
		a.writeError(w, next, err)
		return
	}
	accepted, err := a.writePut(ctx, next, spec)
	if err != nil {
		a.writeError(w, next, err)
		return
	}
	a.applyWrite(accepted)
	status := http.StatusOK
	if next.Revision == 0 {
		status = http.StatusCreated
	}
	apierr.WriteJSON(w, status, accepted)
}

func (a *API) delete(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	target := object.Object{
		APIVersion: object.APIVersion,
		Kind:       mux.Vars(r)["kind"],
		Name:       mux.Vars(r)["name"],
		Operation:  a.operationID(w, r),
		Spec:       json.RawMessage("{}"),
	}
	var err error
	target.Revision, err = strconv.ParseInt(r.URL.Query().Get("revision"), revisionBase, revisionBits)
	if err != nil || target.Revision < 1 {
		a.writeError(w, target, &fault.FieldError{Field: "revision", Problem: "state the revision that is to be deleted, as in ?revision=12"})
		return
	}
	if err := target.Validate(); err != nil {
		a.writeError(w, target, err)
		return
	}
	deleted, err := a.writeDelete(ctx, target)
	if err != nil {
		a.writeError(w, target, err)
		return
	}
	a.applyWrite(deleted)
	apierr.WriteJSON(w, http.StatusOK, deleted)
}

// operationID returns the operation ID of the change and echoes it in the response
// header, so that the client has it whatever the outcome.
func (a *API) operationID(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get(HeaderOperation)
	if id == "" {
		id = a.newID()
	}
	w.Header().Set(HeaderOperation, id)
	return id
}

// decodePut reads and validates the body of a PUT. An operation ID in the body is
// ignored: operators send back the resource as they got it, so it is that of the
// previous change.
func decodePut(r *http.Request, operationID string) (object.Object, schema.Spec, error) {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	next := object.Object{Kind: kind, Name: name}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return next, nil, &fault.FieldError{Problem: "could not be read: " + err.Error()}
	}
	if err := strict.Decode(raw, &next, strict.WithMaxBytes(maxBodyBytes)); err != nil {
		return next, nil, err
	}
	next.Operation = operationID
	var bad fault.FieldsError
	bad.Merge("", next.Validate())
	bad.Check(next.Kind == kind, "kind", "is not the kind in the path")
	bad.Check(next.Name == name, "name", "is not the name in the path")
	bad.Check(!next.Deleted, "deleted", "is set; send DELETE to delete")
	if err := bad.Err(); err != nil {
		return next, nil, err
	}
	spec, err := schema.Accept(kind, next.Spec)
	if err != nil {
		bad.Merge("spec", err)
		return next, nil, bad.Err()
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, next.Spec); err != nil {
		return next, nil, errors.Wrap(err, "compacting the spec")
	}
	next.Spec = compact.Bytes()
	return next, spec, nil
}

func (a *API) writePut(ctx context.Context, next object.Object, spec schema.Spec) (object.Object, error) {
	if err := a.checkReferences(ctx, spec); err != nil {
		return a.unlessApplied(ctx, next, err)
	}
	return a.writer.Put(ctx, next)
}

func (a *API) writeDelete(ctx context.Context, target object.Object) (object.Object, error) {
	if err := a.checkUnreferenced(ctx, target); err != nil {
		return a.unlessApplied(ctx, target, err)
	}
	return a.writer.Delete(ctx, target.Kind, target.Name, target.Revision, target.Operation)
}

// checkReferences checks that the resources named by spec exist. It reads the metadata
// store, not the cache, since the pool may have just been created through another entry.
func (a *API) checkReferences(ctx context.Context, spec schema.Spec) error {
	var storeErr error
	err := schema.CheckReferences(spec, func(kind, name string) (schema.Spec, bool) {
		o, err := a.writer.Read(ctx, kind, name)
		if isUnavailable(err) {
			storeErr = storeUnavailableError(err)
		}
		if err != nil || o.Deleted {
			return nil, false
		}
		found, err := schema.Read(kind, o.Spec)
		return found, err == nil
	})
	if storeErr != nil {
		return storeErr
	}
	if err == nil {
		return nil
	}
	var bad fault.FieldsError
	bad.Merge("spec", err)
	return bad.Err()
}

// checkUnreferenced checks that no other resource references the one to be deleted. A
// resource created concurrently can still end up referencing it; the status of that
// resource then has the condition "dangling".
func (a *API) checkUnreferenced(ctx context.Context, target object.Object) error {
	all, _, err := a.writer.List(ctx, "")
	if isUnavailable(err) {
		return storeUnavailableError(err)
	}
	if err != nil {
		return err
	}
	var bad fault.FieldsError
	for _, o := range all {
		spec, err := schema.Read(o.Kind, o.Spec)
		if err == nil && schema.References(spec, target.Kind, target.Name) {
			bad.Addf("name", "is named by %s %s; change or delete that first", o.Kind, o.Name)
		}
	}
	return bad.Err()
}

// unlessApplied returns the resource if an earlier attempt of the same operation was
// accepted, and otherwise the refusal. The check that fails now may have passed then.
func (a *API) unlessApplied(ctx context.Context, next object.Object, refusal error) (object.Object, error) {
	o, err := a.writer.Read(ctx, next.Kind, next.Name)
	if err == nil && o.HasOperation(next.Operation) {
		return o.Public(), nil
	}
	return object.Object{}, refusal
}

// applyWrite applies an accepted change to the local cache without waiting for the
// watch.
func (a *API) applyWrite(o object.Object) {
	a.logger.Info("Change accepted.", logFields(o)...)
	body, err := json.Marshal(o)
	if err != nil {
		return
	}
	a.cache.ApplyWrite(&wire.Resource{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Deleted: o.Deleted, Body: body})
}

func (a *API) writeError(w http.ResponseWriter, next object.Object, err error) {
	a.logger.Warn("Change rejected.", append(logFields(next), logs.FieldError, err)...)
	f := apierr.FromError(err)
	f.Operation = w.Header().Get(HeaderOperation)
	if f.Code == apierr.CodeConflict {
		f.Current = a.currentJSON(next)
	}
	f.Write(w)
}

// currentJSON returns the present resource as JSON for a conflict response, or nil if
// it is deleted or can't be read.
func (a *API) currentJSON(next object.Object) json.RawMessage {
	ctx, cancel := context.WithTimeout(context.Background(), retryAfter)
	defer cancel()
	o, _, err := a.read(ctx, next.Kind, next.Name)
	if err != nil || o.Deleted {
		return nil
	}
	raw, err := json.Marshal(o.Public())
	if err != nil {
		return nil
	}
	return raw
}

func storeUnavailableError(err error) error {
	return apierr.Busy("keyValueDown", "this attempt sent no change, since the key-value service gave no answer: "+err.Error(), retryAfter)
}

func logFields(o object.Object) []any {
	return []any{
		logs.FieldKind, o.Kind, logs.FieldName, o.Name,
		logs.FieldRevision, o.Revision, logs.FieldOperation, o.Operation,
	}
}

func formatRevision(revision int64) string {
	return strconv.FormatInt(revision, revisionBase)
}
