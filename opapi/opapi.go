// Package opapi serves the resource API to operators and their tools.
//
//	GET    /v1/resources                       all resources
//	GET    /v1/resources/{kind}                those of a kind
//	GET    /v1/resources/{kind}/{name}         one
//	PUT    /v1/resources/{kind}/{name}         create (revision 0) or replace
//	DELETE /v1/resources/{kind}/{name}?revision=N
//	GET    /v1/resources/{kind}/{name}/status  accepted, in force, what stands against it
//	GET    /v1/watch?kind=&name=&after=&wait=  what changed after a revision
//
// While the key-value service is silent, reads are answered from the local
// configuration and say so in the header Configuration-Source; writes are
// refused.
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
	"github.com/lavendermux/lavendermux/change"
	"github.com/lavendermux/lavendermux/condit"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/reply"
	"github.com/lavendermux/lavendermux/spread"
)

const (
	// HeaderOperation carries the identity of a change in and out.
	HeaderOperation = "Operation-Id"
	// HeaderSource says where an answer comes from: SourceKeyValue or
	// SourceLocal.
	HeaderSource = "Configuration-Source"
	// HeaderRevision is the revision up to which a local answer is complete.
	HeaderRevision = "Configuration-Revision"
	// SourceKeyValue marks an answer read from the key-value service just now.
	SourceKeyValue = "keyValue"
	// SourceLocal marks an answer from the configuration of one entry, which
	// may lag behind.
	SourceLocal = "local"

	// maxBody bounds a resource, in bytes. The key-value service holds values
	// up to a megabyte, and the envelope and earlier operations come on top.
	maxBody = 512 << 10
	// defaultWatches bounds the watches that wait at one entry. Each holds a
	// connection and some 20 KB; 256 are far more than there are operators.
	defaultWatches = 256
	// changeTimeout bounds one change, repeats included.
	changeTimeout = 10 * time.Second
	busyAfter     = 2 * time.Second

	pathResources = "/v1/resources"
	pathKind      = pathResources + "/{kind}"
	pathResource  = pathKind + "/{name}"
)

type (
	// API is an http.Handler. See New.
	API struct {
		router     *mux.Router
		writer     *change.Writer
		cache      *confs.Cache
		logger     *log.Logger
		inForce    func(ctx context.Context, revision int64) (spread.Report, error)
		conditions func(kind, name string) []condit.Condition
		newID      func() string
		watches    chan struct{}
	}

	// Option changes an API as New makes it.
	Option func(*API)

	list struct {
		Revision int64           `json:"revision"`
		Source   string          `json:"source"`
		Items    []object.Object `json:"items"`
	}
)

// New returns the API over a writer and the local configuration.
//
//	api := opapi.New(change.New(keyval.New(base)), cache)
//	api.Register(router)
func New(w *change.Writer, cache *confs.Cache, opts ...Option) *API {
	a := &API{
		router:     mux.NewRouter(),
		writer:     w,
		cache:      cache,
		logger:     log.New(io.Discard),
		inForce:    func(context.Context, int64) (spread.Report, error) { return spread.Report{}, nil },
		conditions: func(string, string) []condit.Condition { return nil },
		newID:      rand.Text,
		watches:    make(chan struct{}, defaultWatches),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.Register(a.router)
	return a
}

// WithInForce sets what knows how far a revision has got. The default knows
// nothing.
func WithInForce(f func(ctx context.Context, revision int64) (spread.Report, error)) Option {
	return func(a *API) { a.inForce = f }
}

// WithConditions sets what knows more that stands against a resource, such as a
// pool without workers. The default knows nothing.
func WithConditions(f func(kind, name string) []condit.Condition) Option {
	return func(a *API) { a.conditions = f }
}

// WithLog sets where accepted and refused changes are logged. The default
// discards them.
func WithLog(l *log.Logger) Option {
	return func(a *API) { a.logger = l }
}

// WithNewID sets where identities of changes come from that carry none. The
// default is random.
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
		reply.Fail(w, err)
		return
	}
	answer := list{Source: SourceKeyValue}
	var err error
	answer.Items, answer.Revision, err = a.writer.List(r.Context(), kind)
	if silent(err) {
		answer.Source, answer.Revision = SourceLocal, a.cache.Revision()
		answer.Items, err = a.cache.Objects(kind), nil
	}
	if err != nil {
		reply.Fail(w, err)
		return
	}
	answer.Items = visible(answer.Items)
	a.mark(w, answer.Source)
	reply.JSON(w, http.StatusOK, answer)
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	o, source, err := a.read(r.Context(), kind, name)
	a.mark(w, source)
	if err == nil && o.Deleted {
		err = missing(kind, name)
	}
	if err != nil {
		reply.Fail(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, o.Public())
}

// read returns a resource, deleted ones included, and where it comes from.
func (a *API) read(ctx context.Context, kind, name string) (object.Object, string, error) {
	if err := checkKind(kind); err != nil {
		return object.Object{}, SourceLocal, err
	}
	o, err := a.writer.Read(ctx, kind, name)
	if !silent(err) {
		var none *fault.NotFoundError
		if errors.As(err, &none) {
			err = missing(kind, name)
		}
		return o, SourceKeyValue, err
	}
	if o, ok := a.cache.Object(kind, name); ok {
		return o, SourceLocal, nil
	}
	if revision, ok := a.cache.Tombstone(kind, name); ok {
		return object.Object{Kind: kind, Name: name, Revision: revision, Deleted: true}, SourceLocal, nil
	}
	if !a.cache.Loaded() {
		return object.Object{}, SourceLocal, reply.Busy("notLoaded", "this entry has no configuration yet, and the key-value service gives no answer", busyAfter)
	}
	return object.Object{}, SourceLocal, missing(kind, name)
}

func (a *API) mark(w http.ResponseWriter, source string) {
	w.Header().Set(HeaderSource, source)
	if source == SourceLocal {
		w.Header().Set(HeaderRevision, formatRevision(a.cache.Revision()))
	}
}

// visible returns what operators see of resources. Those that the system keeps
// for itself are left out.
func visible(all []object.Object) []object.Object {
	shown := []object.Object{}
	for _, o := range all {
		if slices.Contains(object.Kinds, o.Kind) {
			shown = append(shown, o.Public())
		}
	}
	return shown
}

func missing(kind, name string) error {
	return &fault.NotFoundError{What: kind + " " + name}
}

func checkKind(kind string) error {
	if kind == "" {
		return nil
	}
	probe := object.Object{APIVersion: object.APIVersion, Kind: kind, Name: "x", Spec: json.RawMessage("{}")}
	return probe.Validate()
}

func silent(err error) bool {
	var down *fault.UnavailableError
	return errors.As(err, &down)
}
