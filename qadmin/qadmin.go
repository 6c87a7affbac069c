// Package qadmin is the HTTP API by which operators list and clear quarantined requests.
//
//	GET    /v1/held          list the requests under which endpoints crashed, as this instance knows them
//	DELETE /v1/held/{print}  clear a request at all instances
package qadmin

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/lavendermux/lavendermux/apierr"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/views"
)

type (
	// API serves the routes for operators. See New.
	API struct {
		instance string
		guard    strikeTable
	}

	strikeTable interface {
		List() []views.PoisonRequest
		Clear(fp reqfp.Fingerprint) (strikes int)
	}

	listResponse struct {
		Instance string                `json:"instance"`
		Held     []views.PoisonRequest `json:"held"`
	}

	clearResponse struct {
		// Strikes is the number of strikes that counted until now; 0 means that there were
		// none.
		Strikes int `json:"strikes"`
	}
)

// New returns the API for the guard of an instance.
//
//	qadmin.New("entry-1", guard).Register(router)
func New(instance string, t strikeTable) *API { return &API{instance: instance, guard: t} }

// Register adds the API's routes to a router.
func (w *API) Register(router *mux.Router) {
	router.HandleFunc(views.QuarantinePath, w.list).Methods(http.MethodGet)
	router.HandleFunc(views.QuarantinePath+"/{print}", w.clear).Methods(http.MethodDelete)
}

func (w *API) list(rw http.ResponseWriter, _ *http.Request) {
	held := w.guard.List()
	if held == nil {
		held = []views.PoisonRequest{}
	}
	apierr.WriteJSON(rw, http.StatusOK, listResponse{Instance: w.instance, Held: held})
}

func (w *API) clear(rw http.ResponseWriter, r *http.Request) {
	var fp reqfp.Fingerprint
	if err := fp.UnmarshalText([]byte(mux.Vars(r)["print"])); err != nil {
		apierr.WriteError(rw, &fault.FieldError{Field: "print", Problem: err.Error()})
		return
	}
	apierr.WriteJSON(rw, http.StatusOK, clearResponse{Strikes: w.guard.Clear(fp)})
}
