package admit

import "time"

// Option changes admission.
type Option func(*Admit)

// WithWeight sets a caller's weight in the division of what there is; one that
// isn't above 0 counts as the default, 1.
func WithWeight(caller string, weight float64) Option {
	return func(a *Admit) { a.weights[caller] = weight }
}

// WithMaxShare bounds the share of the slots, 0 to 1, that a caller's work may
// take over the memory. The default is 1: no bound.
func WithMaxShare(caller string, share float64) Option {
	return func(a *Admit) { a.maxShares[caller] = share }
}

// WithMemory sets over which time a caller's use is measured. The default is
// 30 s.
func WithMemory(d time.Duration) Option {
	return func(a *Admit) { a.memory = d.Seconds() }
}

// WithPenalty sets by how much of its stretch a caller's work goes back in the
// queue for each time that its use exceeds its fair share. The default is 0.5.
func WithPenalty(factor float64) Option {
	return func(a *Admit) { a.penalty = factor }
}
