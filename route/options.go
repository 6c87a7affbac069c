package route

import "github.com/lavendermux/lavendermux/eject"

// Option changes how endpoints are chosen.
type Option func(*Route)

// WithPlace names the data centre and region of the entry. By default it is in
// none, and all endpoints are equally near.
func WithPlace(dataCentre, region string) Option {
	return func(r *Route) { r.dataCentre, r.region = dataCentre, region }
}

// WithEject sets who says which endpoints are set aside. The default is
// eject.New().
func WithEject(e *eject.Eject) Option {
	return func(r *Route) { r.eject = e }
}

// WithBound sets how far above the mean load an endpoint may be and still be
// chosen for its cached prefix, as a factor. The default is 1.5.
func WithBound(factor float64) Option {
	return func(r *Route) { r.bound = factor }
}
