package entry

import (
	"fmt"

	"github.com/lavendermux/lavendermux/condit"
	"github.com/lavendermux/lavendermux/object"
)

// conditions returns the problems of a resource that this instance knows of.
func (e *Entry) conditions(kind, name string) []condit.Condition {
	service := ""
	switch kind {
	case object.KindPool:
		p, _ := e.conf.Pool(name)
		service = p.Service
	case object.KindService:
		s, _ := e.conf.Service(name)
		service = s.Service
	}
	if service == "" || len(e.view.Endpoints(service)) > 0 {
		return nil
	}
	return []condit.Condition{{
		Cause:  "noEndpoints",
		Reason: fmt.Sprintf("no live endpoint of service %q is known here", service),
	}}
}
