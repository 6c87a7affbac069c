package route

import "github.com/lavendermux/lavendermux/eject"

// Option configures a load balancer.
type Option func(*Router)

// WithLocality sets the data centre and region of the entry. By default it is in
// none, and all endpoints are equally near.
func WithLocality(dataCentre, region string) Option {
	return func(r *Router) { r.dataCentre, r.region = dataCentre, region }
}

// WithDetector sets the outlier detector that decides which endpoints are ejected.
// The default is eject.New().
func WithDetector(e *eject.Detector) Option {
	return func(r *Router) { r.eject = e }
}

// WithLoadBound sets up to which multiple of the mean load an endpoint is chosen for
// its cached prefix. The default is 1.5.
func WithLoadBound(factor float64) Option {
	return func(r *Router) { r.loadBound = factor }
}
