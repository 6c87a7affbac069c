// Package endpt holds what is declared about one endpoint.
package endpt

import "strconv"

// Endpoint is one boot of an engine or of an instance of a plain service.
type Endpoint struct {
	// ID names the endpoint; it may be the same after a restart.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Addr is an IP address and a port. It may belong to another service later.
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
	// Slots is the requests that run at once; at least 1.
	Slots int `json:"slots"`
	// Draining endpoints get no new work.
	Draining bool `json:"draining"`
	// Born is the Unix millisecond of this boot; 0 is unknown.
	Born int64 `json:"born"`
	// Versions has the weight version of each model; empty for plain services.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// Boot names the boot: no other one has this name.
func (e Endpoint) Boot() string { return e.ID + "/" + strconv.FormatInt(e.Born, 10) }

// SameBoot reports whether e and o are one boot of one endpoint.
func (e Endpoint) SameBoot(o Endpoint) bool {
	return e.ID == o.ID && e.Addr == o.Addr && e.Born == o.Born
}
