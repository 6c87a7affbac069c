// Package hubsel selects the hub that an instance contacts in a data centre: it
// orders the entries of the data centre and skips those that recently did not
// reply.
package hubsel

import (
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// baseBackoff is how long a candidate is skipped after its first attempt without
	// a reply; it doubles up to maxBackoff. A short base lets a starting instance or
	// a single lost packet be forgiven at the next heartbeat; a long maximum keeps a
	// dead instance from costing each heartbeat a timeout.
	baseBackoff  = 3 * time.Second
	maxBackoff   = 12 * time.Second
	maxDoublings = 2
)

type (
	// Candidates is the order of the entries of one data centre, by rendezvous hashing of
	// the data centre's name. It uses no clock and is not safe for concurrent use.
	Candidates struct {
		dataCentre string
		order      []insts.Instance
		backoffs   map[string]backoff
	}

	backoff struct {
		until time.Time
		// failures counts the attempts without a reply since the last reply.
		failures int
	}
)

// New returns the empty order of a data centre.
//
//	r := hubsel.New("tln-a")
//	r.Set(entries)
func New(name string) *Candidates {
	return &Candidates{dataCentre: name, backoffs: map[string]backoff{}}
}

// Set replaces the candidates. It ignores those of other data centres, of other
// roles and without an address. Of two with the same ID the later counts.
func (r *Candidates) Set(candidates []insts.Instance) {
	byID := make(map[string]insts.Instance, len(candidates))
	for _, c := range candidates {
		if c.Role == insts.RoleEntry && c.DataCentre == r.dataCentre && c.Address != "" {
			byID[c.ID] = c
		}
	}
	kept := make([]insts.Instance, 0, len(byID))
	for _, c := range byID {
		kept = append(kept, c)
	}
	r.order = rendez.Order(r.dataCentre, kept, func(c insts.Instance) string { return c.ID })
	for id := range r.backoffs {
		if _, ok := byID[id]; !ok {
			delete(r.backoffs, id)
		}
	}
}

// MarkFailed records that a candidate did not reply and skips it for a while, which
// doubles each time and is multiplied by jitter, a random factor around 1.
// Otherwise every tick would wait for the same dead instance again.
func (r *Candidates) MarkFailed(id string, now time.Time, jitter float64) {
	b := r.backoffs[id]
	wait := min(baseBackoff<<min(b.failures, maxDoublings), maxBackoff)
	b.failures++
	b.until = now.Add(time.Duration(float64(wait) * jitter))
	r.backoffs[id] = b
}

// SkipUntil skips a candidate that replied but is not a hub, until the given time.
func (r *Candidates) SkipUntil(id string, until time.Time) {
	r.backoffs[id] = backoff{until: until}
}

// MarkReachable ends the backoff of a candidate that replied.
func (r *Candidates) MarkReachable(id string) {
	delete(r.backoffs, id)
}

// Available returns the candidates that are not skipped now, best first.
func (r *Candidates) Available(now time.Time) []insts.Instance {
	out := make([]insts.Instance, 0, len(r.order))
	for _, c := range r.order {
		if !now.Before(r.backoffs[c.ID].until) {
			out = append(out, c)
		}
	}
	return out
}

// Key returns the data centre.
func (r *Candidates) Key() string {
	return r.dataCentre
}

// Len returns the number of candidates, skipped ones included.
func (r *Candidates) Len() int {
	return len(r.order)
}
