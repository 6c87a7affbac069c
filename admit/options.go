package admit

import "time"

// Option changes admission.
type Option func(*Admit)

// WithWeight sets a caller's weight in the division of what there is. The
// default is 1.
func WithWeight(caller string, weight float64) Option {
	return func(a *Admit) { a.weights[caller] = weight }
}

// WithMaxShare bounds the share of the capacity, 0 to 1, that a caller gets
// while others are refused. The default is 1.
func WithMaxShare(caller string, share float64) Option {
	return func(a *Admit) { a.maxShares[caller] = share }
}

// WithMemory sets over which time rates are measured. The default is 10 s.
func WithMemory(d time.Duration) Option {
	return func(a *Admit) { a.memory = d.Seconds() }
}

// WithHeadroom sets how far above the measured capacity work is still let in, as
// a share: it finds capacity that has come back. The default is 0.1.
func WithHeadroom(share float64) Option {
	return func(a *Admit) { a.headroom = share }
}

// WithMean sets how many tokens work of unknown length counts. The default is
// 256.
func WithMean(tokens int64) Option {
	return func(a *Admit) { a.mean = float64(tokens) }
}
