package route

import (
	"time"

	"github.com/lavendermux/lavendermux/eject"
)

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

// WithChoices sets among how many endpoints drawn at random the least loaded is
// taken. The default is 2.
func WithChoices(n int) Option {
	return func(r *Route) { r.choices = n }
}

// WithBound sets how far above the mean load an endpoint may be and still be
// chosen for its cached prefix, as a factor. The default is 1.25.
func WithBound(factor float64) Option {
	return func(r *Route) { r.bound = factor }
}

// WithMemory sets how fast a reported load loses its worth: after this time
// 1/e of its distance from the mean is believed. The default is 10 s.
func WithMemory(d time.Duration) Option {
	return func(r *Route) { r.memory = d }
}
