// Package warden lets operators clear requests that are held back.
package warden

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/views"
)

type (
	// Warden serves operators. See New.
	Warden struct {
		guard clearer
	}

	clearer interface {
		Clear(p finger.Print) (strikes int)
	}

	cleared struct {
		// Strikes are the crashes that counted until now; 0 says that none did.
		Strikes int `json:"strikes"`
	}
)

// New returns a warden of what a guard holds back.
//
//	warden.New(guard).Register(router)
func New(g clearer) *Warden { return &Warden{guard: g} }

// Register serves a process's metrics address.
func (w *Warden) Register(router *mux.Router) {
	router.HandleFunc(views.HeldPath+"{print}", w.clear).Methods(http.MethodDelete)
}

func (w *Warden) clear(rw http.ResponseWriter, r *http.Request) {
	var p finger.Print
	if err := p.UnmarshalText([]byte(mux.Vars(r)["print"])); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(cleared{Strikes: w.guard.Clear(p)}) // an operator who is gone asks again
}
