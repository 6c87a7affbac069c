package admit

import "time"

// Option configures the fair-share accounting.
type Option func(*Admit)

// WithWeight sets a caller's weight in the division of the slot time. The default
// is 1; it also applies when weight is not above 0.
func WithWeight(caller string, weight float64) Option {
	return func(a *Admit) { a.weights[caller] = weight }
}

// WithMaxShare limits a caller's work to a share of the slots, 0 to 1, averaged
// over the time constant. The default is 1: no limit.
func WithMaxShare(caller string, share float64) Option {
	return func(a *Admit) { a.maxShares[caller] = share }
}

// WithTimeConstant sets the time constant with which a caller's use decays. The default
// is 30 s.
func WithTimeConstant(d time.Duration) Option {
	return func(a *Admit) { a.timeConstant = d.Seconds() }
}

// WithPenalty sets how far work of a caller above its fair share moves back in
// the queue: its stretch is multiplied by 1 plus factor times the relative
// excess. The default is 0.5.
func WithPenalty(factor float64) Option {
	return func(a *Admit) { a.penalty = factor }
}
