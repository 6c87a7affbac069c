// Package rota keeps the order in which an instance asks the entries of one
// data centre for a hub, and remembers who did not answer.
package rota

import (
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rendez"
)

type (
	// Rota is the order of the entries of one data centre, by rendezvous
	// hashing over the data centre's name. It has no clock and no lock.
	Rota struct {
		key     string
		order   []insts.Instance
		avoided map[string]time.Time
	}
)

// New returns the empty order of a data centre.
//
//	r := rota.New("tln-a")
//	r.Set(entries)
func New(dataCentre string) *Rota {
	return &Rota{key: dataCentre, avoided: map[string]time.Time{}}
}

// Set replaces the candidates; those of other data centres, other roles or
// without an address are passed over. Of two with the same ID the later counts.
func (r *Rota) Set(candidates []insts.Instance) {
	byID := make(map[string]insts.Instance, len(candidates))
	for _, c := range candidates {
		if c.Role == insts.RoleEntry && c.DataCentre == r.key && c.Address != "" {
			byID[c.ID] = c
		}
	}
	kept := make([]insts.Instance, 0, len(byID))
	for _, c := range byID {
		kept = append(kept, c)
	}
	r.order = rendez.Order(r.key, kept, func(c insts.Instance) string { return c.ID })
	for id := range r.avoided {
		if _, ok := byID[id]; !ok {
			delete(r.avoided, id)
		}
	}
}

// Avoid passes over a candidate until a time. Without it every tick would wait
// for the same dead instance again; without the end an instance that came back
// would never be asked.
func (r *Rota) Avoid(id string, until time.Time) {
	r.avoided[id] = until
}

// Heard takes a candidate back in.
func (r *Rota) Heard(id string) {
	delete(r.avoided, id)
}

// Order returns the candidates that are not avoided now, best first.
func (r *Rota) Order(now time.Time) []insts.Instance {
	out := make([]insts.Instance, 0, len(r.order))
	for _, c := range r.order {
		if !now.Before(r.avoided[c.ID]) {
			out = append(out, c)
		}
	}
	return out
}

// Key returns the data centre.
func (r *Rota) Key() string {
	return r.key
}

// Len returns how many candidates there are, avoided ones included.
func (r *Rota) Len() int {
	return len(r.order)
}
