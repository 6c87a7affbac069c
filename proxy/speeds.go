package proxy

import (
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/endpt"
)

// observe records how long an endpoint took for a request. Its speed beside the others is
// learned where a route has a latency objective, and from successful answers only: errors are
// often faster.
func (f *Forwarder) observe(r Request, e endpt.Endpoint, status int, took time.Duration) {
	if r.Route.Target <= 0 || status >= http.StatusBadRequest {
		f.endpoints.ObserveUnitTime(e, took)
		return
	}
	f.endpoints.ObserveRequest(e, took, time.Now())
	f.hedges.observe(e.Service, took)
}
