package manif

import (
	"fmt"
	"strings"
)

// Problems lists likely mistakes in a manifest, one line each with the field, for an
// operator to check before it is applied. Instances apply such a manifest anyway, as far
// as possible: rejecting it would leave an old one in force.
//
//	for _, line := range m.Problems() {
//		fmt.Println(line)
//	}
func (m *Manifest) Problems() []string {
	var out []string
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if m.Version < 1 {
		report("version: must be 1 or more, is %d", m.Version)
	}
	if m.Limits.BodyBytes <= 0 {
		report("limits.maxBodyBytes: must be more than 0, is %d", m.Limits.BodyBytes)
	}
	seen := make(map[string]string)
	for i, r := range m.Routes {
		at := fmt.Sprintf("routes[%d] %s", i, r.Name)
		key := r.Host + r.Prefix
		if first, ok := seen[key]; ok {
			report("%s: same host and prefix as %s, which takes precedence", at, first)
		} else {
			seen[key] = r.Name
		}
		for _, p := range m.routeProblems(&r) {
			report("%s: %s", at, p)
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
		out = append(out, "a batch route needs a maximum queue time, or its items never expire")
	}
	return out
}
