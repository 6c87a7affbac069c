// Package rota keeps the order in which an instance asks the entries of one
// data centre for a hub, and remembers who did not answer.
package rota

import (
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// firstSilence is how long a candidate that did not answer is passed over
	// the first time; it doubles up to lastSilence. A short first one lets an
	// instance that is just starting, or one lost packet, be forgiven at the next
	// beat; a long last one keeps a dead one from costing each beat a time-out.
	firstSilence = 3 * time.Second
	lastSilence  = 12 * time.Second
	maxDoublings = 2
)

type (
	// Rota is the order of the entries of one data centre, by rendezvous
	// hashing over the data centre's name. It has no clock and no lock.
	Rota struct {
		key     string
		order   []insts.Instance
		avoided map[string]absence
	}

	absence struct {
		until time.Time
		// strikes counts the attempts without an answer since the last with one.
		strikes int
	}
)

// New returns the empty order of a data centre.
//
//	r := rota.New("tln-a")
//	r.Set(entries)
func New(dataCentre string) *Rota {
	return &Rota{key: dataCentre, avoided: map[string]absence{}}
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

// Silent notes that a candidate did not answer, and passes over it for a while:
// longer each time, and by spread, a factor around 1 that the caller draws.
// Without it every tick would wait for the same dead instance again.
func (r *Rota) Silent(id string, now time.Time, spread float64) {
	a := r.avoided[id]
	wait := min(firstSilence<<min(a.strikes, maxDoublings), lastSilence)
	a.strikes++
	a.until = now.Add(time.Duration(float64(wait) * spread))
	r.avoided[id] = a
}

// Pass passes over a candidate that answered but is no hub until a time.
func (r *Rota) Pass(id string, until time.Time) {
	r.avoided[id] = absence{until: until}
}

// Heard takes a candidate back in.
func (r *Rota) Heard(id string) {
	delete(r.avoided, id)
}

// Order returns the candidates that are not avoided now, best first.
func (r *Rota) Order(now time.Time) []insts.Instance {
	out := make([]insts.Instance, 0, len(r.order))
	for _, c := range r.order {
		if !now.Before(r.avoided[c.ID].until) {
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
