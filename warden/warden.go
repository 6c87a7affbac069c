// Package warden shows operators which requests are held back, and lets them clear these.
//
//	GET    /v1/held          what the instance holds back
//	DELETE /v1/held/{print}  let a request through again, at all instances
package warden

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/reply"
	"github.com/lavendermux/lavendermux/views"
)

type (
	// Warden serves operators. See New.
	Warden struct {
		instance string
		guard    table
	}

	table interface {
		List() []views.Held
		Clear(p finger.Print) (strikes int)
	}

	listing struct {
		Instance string       `json:"instance"`
		Held     []views.Held `json:"held"`
	}

	cleared struct {
		// Strikes are the crashes that counted until now; 0 says that none did.
		Strikes int `json:"strikes"`
	}
)

// New returns a warden of what the guard of an instance holds back.
//
//	warden.New("entry-1", guard).Register(router)
func New(instance string, t table) *Warden { return &Warden{instance: instance, guard: t} }

// Register adds the operators' routes to a router.
func (w *Warden) Register(router *mux.Router) {
	router.HandleFunc(views.HeldPath, w.list).Methods(http.MethodGet)
	router.HandleFunc(views.HeldPath+"/{print}", w.clear).Methods(http.MethodDelete)
}

func (w *Warden) list(rw http.ResponseWriter, _ *http.Request) {
	held := w.guard.List()
	if held == nil {
		held = []views.Held{}
	}
	reply.JSON(rw, http.StatusOK, listing{Instance: w.instance, Held: held})
}

func (w *Warden) clear(rw http.ResponseWriter, r *http.Request) {
	var p finger.Print
	if err := p.UnmarshalText([]byte(mux.Vars(r)["print"])); err != nil {
		reply.Fail(rw, &fault.FieldError{Field: "print", Problem: err.Error()})
		return
	}
	reply.JSON(rw, http.StatusOK, cleared{Strikes: w.guard.Clear(p)})
}
