// Package views is what processes of a deployment believe, as an operator sees it
// from outside, and where those beliefs differ.
package views

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// Path is where a process serves its view, on its metrics address.
	Path = "/view"
	// HeldPath is where a process lists the requests that it holds back. With a fingerprint
	// after it, it is where one is cleared.
	HeldPath = "/v1/held"

	// RoleEntry is an instance that callers reach.
	RoleEntry = "entry"
	// RoleData is an instance that only takes submissions over.
	RoleData = "data"
	// RoleBeside is a process beside an engine.
	RoleBeside = "beside"
)

type (
	// View is what one process believes.
	View struct {
		Instance   string `json:"instance"`
		Boot       string `json:"boot,omitempty"`
		DataCentre string `json:"dataCentre"`
		// Role is entry, data or beside.
		Role string `json:"role"`
		// Manifest is the version in force; 0 is none.
		Manifest int64 `json:"manifest,omitempty"`
		Routes   int   `json:"routes,omitempty"`
		// Ready is what the platform is told; Store says that the metadata store
		// answers this process, if need be by way of a peer.
		Ready    bool `json:"ready"`
		Store    bool `json:"store"`
		Stopping bool `json:"stopping,omitempty"`
		Strained bool `json:"strained,omitempty"`
		// Leads is the epoch of the instance that leads; 0 for all others.
		Leads int64 `json:"leads,omitempty"`
		// Peers are the names of the instances in touch.
		Peers []string `json:"peers,omitempty"`
		// Batches are the submissions held here, with the epoch of each.
		Batches   map[string]int64 `json:"batches,omitempty"`
		Endpoints []Endpoint       `json:"endpoints,omitempty"`
		// Held are the requests under which endpoints ended, those with the most first.
		Held []Held `json:"held,omitempty"`
		// Engine is the endpoint beside the process, and Versions what it serves.
		Engine   string           `json:"engine,omitempty"`
		Versions map[string]int64 `json:"versions,omitempty"`
		Loading  []string         `json:"loading,omitempty"`
	}

	// Held is a request under which endpoints ended.
	Held struct {
		Print string `json:"print"`
		// Strikes are the boots that count against it, Ended all that ended, with how long
		// ago in milliseconds.
		Strikes int              `json:"strikes"`
		Ended   map[string]int64 `json:"ended"`
		// RetryMs is the time until it is sent again, in milliseconds; 0 where it isn't
		// held back.
		RetryMs int64 `json:"retryMs,omitempty"`
	}

	// Endpoint is what a process believes about one endpoint.
	Endpoint struct {
		ID       string           `json:"id"`
		Service  string           `json:"service"`
		Addr     string           `json:"addr"`
		Running  int              `json:"running"`
		Slots    int              `json:"slots,omitempty"`
		Draining bool             `json:"draining,omitempty"`
		Avoided  bool             `json:"avoided,omitempty"`
		PaceMs   float64          `json:"paceMs,omitempty"`
		Versions map[string]int64 `json:"versions,omitempty"`
	}
)

// Differences names what the views of one deployment don't agree on, and what
// stands against serving: each line names the instance.
//
//	for _, line := range views.Differences(all) {
//		fmt.Println(line)
//	}
func Differences(all []View) []string {
	newest := int64(0)
	for _, v := range all {
		newest = max(newest, v.Manifest)
	}
	var out []string
	held := make(map[string][]string)
	for _, v := range all {
		out = append(out, v.problems(newest)...)
		for id := range v.Batches {
			held[id] = append(held[id], v.Instance)
		}
	}
	for id, holders := range held {
		if len(holders) > 1 {
			slices.Sort(holders)
			out = append(out, fmt.Sprintf("batch %s: held by %s", id, strings.Join(holders, " and ")))
		}
	}
	slices.Sort(out)
	return out
}

func (v View) problems(newest int64) []string {
	if v.Role == RoleBeside {
		if len(v.Versions) == 0 {
			return []string{v.Instance + ": its engine doesn't report"}
		}
		return nil
	}
	var out []string
	if v.Manifest < newest {
		out = append(out, fmt.Sprintf("%s: manifest %d, others have %d", v.Instance, v.Manifest, newest))
	}
	if !v.Store {
		out = append(out, v.Instance+": doesn't reach the metadata store")
	}
	if v.Role == RoleEntry && !v.Ready && !v.Stopping {
		out = append(out, v.Instance+": isn't ready")
	}
	if v.Strained {
		out = append(out, v.Instance+": is short of processor time")
	}
	for _, e := range v.Endpoints {
		if e.Avoided {
			out = append(out, fmt.Sprintf("%s: passes %s over after a failure", v.Instance, e.ID))
		}
	}
	return out
}

// HeldRows returns a line of cells for each request that an instance knows to end
// endpoints, with the headings first.
func HeldRows(all []View) [][]string {
	rows := [][]string{{"PRINT", "INSTANCE", "STRIKES", "HELD FOR", "ENDED"}}
	for _, v := range all {
		for _, h := range v.Held {
			state := "-"
			if h.RetryMs > 0 {
				state = (time.Duration(h.RetryMs) * time.Millisecond).Round(time.Second).String()
			}
			boots := slices.Sorted(maps.Keys(h.Ended))
			rows = append(rows, []string{h.Print, v.Instance, number(int64(h.Strikes)), state, strings.Join(boots, " ")})
		}
	}
	slices.SortStableFunc(rows[1:], func(a, b []string) int { return strings.Compare(a[0]+a[1], b[0]+b[1]) })
	return rows
}

// Rows returns a line of cells for each view, in the order of roles and names, with
// the headings first.
func Rows(all []View) [][]string {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b View) int {
		return cmp.Or(strings.Compare(a.Role, b.Role), strings.Compare(a.Instance, b.Instance))
	})
	rows := [][]string{{"INSTANCE", "ROLE", "DATA CENTRE", "MANIFEST", "STATE", "PEERS", "BATCHES", "ENDPOINTS", "VERSIONS"}}
	for _, v := range sorted {
		rows = append(rows, []string{v.Instance, v.Role, v.DataCentre, number(v.Manifest), v.state(),
			number(int64(len(v.Peers))), number(int64(len(v.Batches))), v.usable(), versions(v.Versions)})
	}
	return rows
}

func (v View) state() string {
	switch {
	case v.Stopping:
		return "stopping"
	case v.Role == RoleEntry && !v.Ready:
		return "not ready"
	case v.Role != RoleBeside && !v.Store:
		return "no store"
	case v.Strained:
		return "strained"
	case v.Leads > 0:
		return fmt.Sprintf("leads, epoch %d", v.Leads)
	}
	return "ok"
}

// usable is how many endpoints take work, of how many are known.
func (v View) usable() string {
	if v.Role == RoleBeside {
		return "-"
	}
	n := 0
	for _, e := range v.Endpoints {
		if !e.Draining && !e.Avoided {
			n++
		}
	}
	return fmt.Sprintf("%d of %d", n, len(v.Endpoints))
}

func versions(m map[string]int64) string {
	out := make([]string, 0, len(m))
	for model, v := range m {
		out = append(out, fmt.Sprintf("%s=%d", model, v))
	}
	slices.Sort(out)
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, " ")
}

func number(n int64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
