// Package endpt defines the declaration of an endpoint.
package endpt

import "strconv"

// Endpoint is one incarnation of an engine or of an instance of a plain service.
type Endpoint struct {
	// ID identifies the endpoint; it may be the same after a restart.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Addr is an IP address and a port. Another service may get the same address later.
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
	// Slots is the number of requests that run concurrently; at least 1.
	Slots int `json:"slots"`
	// Draining endpoints get no new work.
	Draining bool `json:"draining"`
	// StartedMs is the start time of this incarnation in Unix milliseconds; 0 means unknown.
	StartedMs int64 `json:"born"`
	// Versions has the weight version of each model; empty for plain services.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// Incarnation returns an identifier that is unique to this incarnation.
func (e Endpoint) Incarnation() string { return e.ID + "/" + strconv.FormatInt(e.StartedMs, 10) }

// SameIncarnation reports whether e and o are the same incarnation of the same endpoint.
func (e Endpoint) SameIncarnation(o Endpoint) bool {
	return e.ID == o.ID && e.Addr == o.Addr && e.StartedMs == o.StartedMs
}
