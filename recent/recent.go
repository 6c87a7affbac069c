// Package recent remembers keys for a while, in bounded memory.
//
// The package has no clock.
package recent

import "time"

const (
	// defaultSpan is the least time for which a key is remembered.
	defaultSpan = 30 * time.Second
	// defaultMost bounds the keys of one generation; there are two.
	defaultMost = 1 << 14
)

type (
	// Set holds keys that were added between one and two spans ago or later. At its bound
	// it forgets sooner. Not safe for concurrent use. See New.
	Set[K comparable] struct {
		span time.Duration
		most int
		// young takes what is added, old is the generation before.
		young, old map[K]struct{}
		turnedAt   time.Time
	}

	// Option changes a Set as New makes it.
	Option func(*options)

	options struct {
		span time.Duration
		most int
	}
)

// New returns an empty set.
//
//	s := recent.New[string](recent.WithSpan(time.Minute))
//	s.Add("k", now)
//	fmt.Println(s.Has("k", now))
func New[K comparable](opts ...Option) *Set[K] {
	o := options{span: defaultSpan, most: defaultMost}
	for _, opt := range opts {
		opt(&o)
	}
	return &Set[K]{span: o.span, most: o.most, young: make(map[K]struct{}), old: make(map[K]struct{})}
}

// WithSpan sets the least time for which a key is remembered. The default is 30 seconds.
func WithSpan(d time.Duration) Option {
	return func(o *options) { o.span = d }
}

// WithMost bounds the keys that are added in a span. The default is 16,384.
func WithMost(n int) Option {
	return func(o *options) { o.most = n }
}

// Add remembers k.
func (s *Set[K]) Add(k K, now time.Time) {
	s.turn(now)
	if len(s.young) >= s.most {
		s.next(now)
	}
	s.young[k] = struct{}{}
}

// Has reports whether k is remembered.
func (s *Set[K]) Has(k K, now time.Time) bool {
	s.turn(now)
	if _, ok := s.young[k]; ok {
		return true
	}
	_, ok := s.old[k]
	return ok
}

// turn ends generations whose span is over.
func (s *Set[K]) turn(now time.Time) {
	switch past := now.Sub(s.turnedAt); {
	case past >= 2*s.span:
		s.next(now)
		s.next(now)
	case past >= s.span:
		s.next(now)
	}
}

func (s *Set[K]) next(now time.Time) {
	s.old, s.young = s.young, make(map[K]struct{})
	s.turnedAt = now
}
