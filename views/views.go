// Package views defines the status page of a process, its view of the deployment, and
// finds the differences between the views of several processes.
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
	// QuarantinePath is where a process lists the poison requests that it knows. With a
	// fingerprint appended, it is where the quarantine of one is ended.
	QuarantinePath = "/v1/held"

	// RoleEntry is an instance that serves clients.
	RoleEntry = "entry"
	// RoleData is an instance that serves no clients and only runs batches.
	RoleData = "data"
	// RoleSidecar is the sidecar of an endpoint.
	RoleSidecar = "beside"
)

type (
	// View is the state of the deployment as one process sees it.
	View struct {
		Instance    string `json:"instance"`
		Incarnation string `json:"boot,omitempty"`
		DataCentre  string `json:"dataCentre"`
		// Role is entry, data or beside.
		Role string `json:"role"`
		// Manifest is the version of the manifest in use; 0 is none.
		Manifest int64 `json:"manifest,omitempty"`
		Routes   int   `json:"routes,omitempty"`
		// Ready is the result of the readiness probe; StoreReachable reports that the metadata
		// store is reachable, directly or through a peer.
		Ready          bool `json:"ready"`
		StoreReachable bool `json:"store"`
		Stopping       bool `json:"stopping,omitempty"`
		CPUStarved     bool `json:"strained,omitempty"`
		// LeaderEpoch is the leadership epoch if the instance is the leader, else 0.
		LeaderEpoch int64 `json:"leads,omitempty"`
		// Peers are the names of the peers that are alive.
		Peers []string `json:"peers,omitempty"`
		// Batches are the epochs of the batches that the instance owns, by batch ID.
		Batches   map[string]int64 `json:"batches,omitempty"`
		Endpoints []Endpoint       `json:"endpoints,omitempty"`
		// PoisonRequests are the requests under which endpoints crashed, those with the most
		// strikes first.
		PoisonRequests []PoisonRequest `json:"held,omitempty"`
		// LocalEndpoint is the endpoint of a sidecar, and Versions are the weight versions that
		// it serves, by model.
		LocalEndpoint string           `json:"engine,omitempty"`
		Versions      map[string]int64 `json:"versions,omitempty"`
		Loading       []string         `json:"loading,omitempty"`
	}

	// PoisonRequest is a request under which endpoints crashed.
	PoisonRequest struct {
		Fingerprint string `json:"print"`
		// Strikes is the number of crashes that count against the request. CrashAgesMs has
		// all crashed incarnations, with the time since the crash in milliseconds.
		Strikes     int              `json:"strikes"`
		CrashAgesMs map[string]int64 `json:"ended"`
		// RetryMs is the remaining quarantine in milliseconds; 0 if the request isn't
		// quarantined.
		RetryMs int64 `json:"retryMs,omitempty"`
	}

	// Endpoint is the state of one endpoint as a process sees it.
	Endpoint struct {
		ID         string           `json:"id"`
		Service    string           `json:"service"`
		Addr       string           `json:"addr"`
		Running    int              `json:"running"`
		Slots      int              `json:"slots,omitempty"`
		Draining   bool             `json:"draining,omitempty"`
		Avoided    bool             `json:"avoided,omitempty"`
		UnitTimeMs float64          `json:"paceMs,omitempty"`
		Versions   map[string]int64 `json:"versions,omitempty"`
	}
)

// Differences returns the disagreements between the views of one deployment and the
// reasons why instances can't serve, one per line, each with its instance.
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
	owners := make(map[string][]string)
	for _, v := range all {
		out = append(out, v.problems(newest)...)
		for id := range v.Batches {
			owners[id] = append(owners[id], v.Instance)
		}
	}
	for id, instances := range owners {
		if len(instances) > 1 {
			slices.Sort(instances)
			out = append(out, fmt.Sprintf("batch %s: owned by %s", id, strings.Join(instances, " and ")))
		}
	}
	slices.Sort(out)
	return out
}

func (v View) problems(newest int64) []string {
	if v.Role == RoleSidecar {
		if len(v.Versions) == 0 {
			return []string{v.Instance + ": its endpoint doesn't report versions"}
		}
		return nil
	}
	var out []string
	if v.Manifest < newest {
		out = append(out, fmt.Sprintf("%s: manifest %d, others have %d", v.Instance, v.Manifest, newest))
	}
	if !v.StoreReachable {
		out = append(out, v.Instance+": can't reach the metadata store")
	}
	if v.Role == RoleEntry && !v.Ready && !v.Stopping {
		out = append(out, v.Instance+": isn't ready")
	}
	if v.CPUStarved {
		out = append(out, v.Instance+": short of CPU time")
	}
	for _, e := range v.Endpoints {
		if e.Avoided {
			out = append(out, fmt.Sprintf("%s: avoids %s after a failure", v.Instance, e.ID))
		}
	}
	return out
}

// QuarantineRows returns a table row for each poison request of each instance, sorted by
// fingerprint and instance, with the header row first.
func QuarantineRows(all []View) [][]string {
	rows := [][]string{{"PRINT", "INSTANCE", "STRIKES", "HELD FOR", "ENDED"}}
	for _, v := range all {
		for _, h := range v.PoisonRequests {
			quarantine := "-"
			if h.RetryMs > 0 {
				quarantine = (time.Duration(h.RetryMs) * time.Millisecond).Round(time.Second).String()
			}
			incarnations := slices.Sorted(maps.Keys(h.CrashAgesMs))
			rows = append(rows, []string{h.Fingerprint, v.Instance, formatCount(int64(h.Strikes)), quarantine, strings.Join(incarnations, " ")})
		}
	}
	slices.SortStableFunc(rows[1:], func(a, b []string) int { return strings.Compare(a[0]+a[1], b[0]+b[1]) })
	return rows
}

// Rows returns a table row for each view, sorted by role and instance, with the header
// row first.
func Rows(all []View) [][]string {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b View) int {
		return cmp.Or(strings.Compare(a.Role, b.Role), strings.Compare(a.Instance, b.Instance))
	})
	rows := [][]string{{"INSTANCE", "ROLE", "DATA CENTRE", "MANIFEST", "STATE", "PEERS", "BATCHES", "ENDPOINTS", "VERSIONS"}}
	for _, v := range sorted {
		rows = append(rows, []string{v.Instance, v.Role, v.DataCentre, formatCount(v.Manifest), v.state(),
			formatCount(int64(len(v.Peers))), formatCount(int64(len(v.Batches))), v.usableEndpoints(), formatVersions(v.Versions)})
	}
	return rows
}

func (v View) state() string {
	switch {
	case v.Stopping:
		return "stopping"
	case v.Role == RoleEntry && !v.Ready:
		return "not ready"
	case v.Role != RoleSidecar && !v.StoreReachable:
		return "no store"
	case v.CPUStarved:
		return "strained"
	case v.LeaderEpoch > 0:
		return fmt.Sprintf("leads, epoch %d", v.LeaderEpoch)
	}
	return "ok"
}

// usableEndpoints formats how many of the known endpoints accept work.
func (v View) usableEndpoints() string {
	if v.Role == RoleSidecar {
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

func formatVersions(m map[string]int64) string {
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

func formatCount(n int64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
