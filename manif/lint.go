package manif

import (
	"fmt"
	"strings"
)

// Problems names what an operator would want to know about a manifest before it is
// in force, a line each with the field. The product serves such a manifest all the
// same, as far as it goes: to turn it away would leave an old one in force.
//
//	for _, line := range m.Problems() {
//		fmt.Println(line)
//	}
func (m *Manifest) Problems() []string {
	var out []string
	note := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if m.Version < 1 {
		note("version: must be 1 or more, is %d", m.Version)
	}
	if m.Limits.BodyBytes <= 0 {
		note("limits.maxBodyBytes: must be more than 0, is %d", m.Limits.BodyBytes)
	}
	seen := make(map[string]string)
	for i, r := range m.Routes {
		at := fmt.Sprintf("routes[%d] %s", i, r.Name)
		key := r.Host + r.Prefix
		if first, ok := seen[key]; ok {
			note("%s: host and prefix are those of %s, which is used", at, first)
		} else {
			seen[key] = r.Name
		}
		for _, p := range m.routeProblems(&r) {
			note("%s: %s", at, p)
		}
	}
	return out
}

func (m *Manifest) routeProblems(r *Route) []string {
	var out []string
	if r.Host == "" {
		out = append(out, "host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		out = append(out, fmt.Sprintf("prefix must begin and end with a slash, is %q", r.Prefix))
	}
	for _, s := range r.Split {
		if _, ok := m.Services[s.Service]; !ok {
			out = append(out, fmt.Sprintf("service %q is not among the services", s.Service))
		}
	}
	if r.Kind == Batch && r.MaxQueue <= 0 {
		out = append(out, "a batch route needs a queue time, or its items are never given up")
	}
	return out
}
