// Package opapi serves the HTTP API for configuration resources to operators and their
// tools.
//
//	GET    /v1/resources                       list all resources
//	GET    /v1/resources/{kind}                list the resources of a kind
//	GET    /v1/resources/{kind}/{name}         get one
//	PUT    /v1/resources/{kind}/{name}         create (revision 0) or replace
//	DELETE /v1/resources/{kind}/{name}?revision=N
//	GET    /v1/resources/{kind}/{name}/status  accepted revision, propagation, conditions
//	GET    /v1/watch?kind=&name=&after=&wait=  long poll for changes after a revision
//
// While the metadata store is unavailable, reads are served from the local
// configuration, which the header Configuration-Source shows, and writes are
// rejected.
package opapi

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/change"
	"github.com/lavendermux/lavendermux/condit"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/spread"
)

const (
	// HeaderOperation carries the operation ID of a change in requests and responses.
	HeaderOperation = "Operation-Id"
	// HeaderSource is the source of a response: SourceKeyValue or SourceLocal.
	HeaderSource = "Configuration-Source"
	// HeaderRevision is the revision up to which a local response is complete.
	HeaderRevision = "Configuration-Revision"
	// SourceKeyValue marks a response read from the metadata store.
	SourceKeyValue = "keyValue"
	// SourceLocal marks a response from the local configuration of one entry, which
	// may be stale.
	SourceLocal = "local"

	// maxBodyBytes bounds the body of a PUT. The metadata store holds values of up to a
	// megabyte, which also include the envelope and prior operation IDs.
	maxBodyBytes = 512 << 10
	// maxWatches bounds the concurrent watches of one entry. Each holds a connection
	// and some 20 KB; 256 are far more than there are operators.
	maxWatches = 256
	// changeTimeout bounds one change, including its retries.
	changeTimeout = 10 * time.Second
	retryAfter    = 2 * time.Second

	pathResources = "/v1/resources"
	pathKind      = pathResources + "/{kind}"
	pathResource  = pathKind + "/{name}"
)

type (
	// API is an http.Handler for the resource API. See New.
	API struct {
		router      *mux.Router
		writer      *change.Writer
		cache       *confs.Cache
		logger      *log.Logger
		propagation func(ctx context.Context, revision int64) (spread.Report, error)
		conditions  func(kind, name string) []condit.Condition
		newID       func() string
		watchSlots  chan struct{}
	}

	// Option configures an API. See New.
	Option func(*API)

	list struct {
		Revision int64           `json:"revision"`
		Source   string          `json:"source"`
		Items    []object.Object `json:"items"`
	}
)

// New returns an API that writes through w and falls back to cache for reads.
//
//	api := opapi.New(change.New(keyval.New(base)), cache)
//	api.Register(router)
func New(w *change.Writer, cache *confs.Cache, opts ...Option) *API {
	a := &API{
		router:      mux.NewRouter(),
		writer:      w,
		cache:       cache,
		logger:      log.New(io.Discard),
		propagation: func(context.Context, int64) (spread.Report, error) { return spread.Report{}, nil },
		conditions:  func(string, string) []condit.Condition { return nil },
		newID:       rand.Text,
		watchSlots:  make(chan struct{}, maxWatches),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.Register(a.router)
	return a
}

// WithPropagation sets the function that reports the propagation of a revision to the
// instances. The default reports nothing.
func WithPropagation(f func(ctx context.Context, revision int64) (spread.Report, error)) Option {
	return func(a *API) { a.propagation = f }
}

// WithConditions sets the source of further conditions of a resource, such as a pool
// without workers. The default has none.
func WithConditions(f func(kind, name string) []condit.Condition) Option {
	return func(a *API) { a.conditions = f }
}

// WithLog sets the logger of accepted and rejected changes. The default discards them.
func WithLog(l *log.Logger) Option {
	return func(a *API) { a.logger = l }
}

// WithNewID sets the generator of operation IDs for changes without one. The default
// generates random IDs.
func WithNewID(f func() string) Option {
	return func(a *API) { a.newID = f }
}

// Register adds the API's routes to r.
func (a *API) Register(r *mux.Router) {
	r.HandleFunc(pathResources, a.list).Methods(http.MethodGet)
	r.HandleFunc(pathKind, a.list).Methods(http.MethodGet)
	r.HandleFunc(pathResource, a.get).Methods(http.MethodGet)
	r.HandleFunc(pathResource, a.put).Methods(http.MethodPut)
	r.HandleFunc(pathResource, a.delete).Methods(http.MethodDelete)
	r.HandleFunc(pathResource+"/status", a.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", a.watch).Methods(http.MethodGet)
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.router.ServeHTTP(w, r)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	kind := mux.Vars(r)["kind"]
	if err := checkKind(kind); err != nil {
		apierr.WriteError(w, err)
		return
	}
	resp := list{Source: SourceKeyValue}
	var err error
	resp.Items, resp.Revision, err = a.writer.List(r.Context(), kind)
	if isUnavailable(err) {
		resp.Source, resp.Revision = SourceLocal, a.cache.Revision()
		resp.Items, err = a.cache.Objects(kind), a.checkLoaded()
	}
	if err != nil {
		apierr.WriteError(w, err)
		return
	}
	resp.Items = publicObjects(resp.Items)
	a.setSourceHeaders(w, resp.Source)
	apierr.WriteJSON(w, http.StatusOK, resp)
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	o, source, err := a.read(r.Context(), kind, name)
	a.setSourceHeaders(w, source)
	if err == nil && o.Deleted {
		err = notFoundError(kind, name)
	}
	if err != nil {
		apierr.WriteError(w, err)
		return
	}
	apierr.WriteJSON(w, http.StatusOK, o.Public())
}

// read returns a resource and its source. A deleted resource is returned with Deleted
// set.
func (a *API) read(ctx context.Context, kind, name string) (object.Object, string, error) {
	if err := checkKind(kind); err != nil {
		return object.Object{}, SourceLocal, err
	}
	o, err := a.writer.Read(ctx, kind, name)
	if !isUnavailable(err) {
		var notFound *fault.NotFoundError
		if errors.As(err, &notFound) {
			err = notFoundError(kind, name)
		}
		return o, SourceKeyValue, err
	}
	if err := a.checkLoaded(); err != nil {
		return object.Object{}, SourceLocal, err
	}
	if o, ok := a.cache.Object(kind, name); ok {
		return o, SourceLocal, nil
	}
	if revision, ok := a.cache.Tombstone(kind, name); ok {
		return object.Object{Kind: kind, Name: name, Revision: revision, Deleted: true}, SourceLocal, nil
	}
	return object.Object{}, SourceLocal, notFoundError(kind, name)
}

// checkLoaded returns an error while this entry has no configuration to answer from. An
// empty answer would mean that there are no resources.
func (a *API) checkLoaded() error {
	if a.cache.Loaded() {
		return nil
	}
	return apierr.Busy("notLoaded", "this entry has no configuration yet, and the key-value service gives no answer", retryAfter)
}

func (a *API) setSourceHeaders(w http.ResponseWriter, source string) {
	w.Header().Set(HeaderSource, source)
	if source == SourceLocal {
		w.Header().Set(HeaderRevision, formatRevision(a.cache.Revision()))
	}
}

// publicObjects returns the public form of the resources in all, without those of
// internal kinds.
func publicObjects(all []object.Object) []object.Object {
	public := []object.Object{}
	for _, o := range all {
		if slices.Contains(object.Kinds, o.Kind) {
			public = append(public, o.Public())
		}
	}
	return public
}

func notFoundError(kind, name string) error {
	return &fault.NotFoundError{Resource: kind + " " + name}
}

func checkKind(kind string) error {
	if kind == "" {
		return nil
	}
	probe := object.Object{APIVersion: object.APIVersion, Kind: kind, Name: "x", Spec: json.RawMessage("{}")}
	return probe.Validate()
}

func isUnavailable(err error) bool {
	var unavailable *fault.UnavailableError
	return errors.As(err, &unavailable)
}
