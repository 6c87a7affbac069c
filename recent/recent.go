// Package recent provides a set of keys that expire, in bounded memory. It uses
// no clock.
package recent

import "time"

const (
	// defaultTTL is the minimum time for which a key is kept.
	defaultTTL = 30 * time.Second
	// defaultCapacity limits the keys of one generation; there are two.
	defaultCapacity = 1 << 14
)

type (
	// Set keeps each key for at least one and less than three TTLs after it was
	// added; at its capacity, keys expire sooner. It is not safe for concurrent use.
	// See New.
	Set[K comparable] struct {
		ttl      time.Duration
		capacity int
		// current receives added keys; previous is the generation before.
		current, previous map[K]struct{}
		rotatedAt         time.Time
	}

	// Option configures a Set.
	Option func(*options)

	options struct {
		ttl      time.Duration
		capacity int
	}
)

// New returns an empty set.
//
//	s := recent.New[string]()
//	s.Add("k", now)
//	fmt.Println(s.Has("k", now))
func New[K comparable](opts ...Option) *Set[K] {
	o := options{ttl: defaultTTL, capacity: defaultCapacity}
	for _, opt := range opts {
		opt(&o)
	}
	return &Set[K]{ttl: o.ttl, capacity: o.capacity, current: make(map[K]struct{}), previous: make(map[K]struct{})}
}

// WithTTL sets the minimum time for which a key is kept. The default is 30
// seconds.
func WithTTL(d time.Duration) Option {
	return func(o *options) { o.ttl = d }
}

// WithCapacity limits the keys added per generation. The default is 16,384.
func WithCapacity(n int) Option {
	return func(o *options) { o.capacity = n }
}

// Add adds k.
func (s *Set[K]) Add(k K, now time.Time) {
	s.rotateExpired(now)
	if len(s.current) >= s.capacity {
		s.rotate(now)
	}
	s.current[k] = struct{}{}
}

// Has reports whether k was added and has not expired.
func (s *Set[K]) Has(k K, now time.Time) bool {
	s.rotateExpired(now)
	if _, ok := s.current[k]; ok {
		return true
	}
	_, ok := s.previous[k]
	return ok
}

// rotateExpired drops the generations that have expired.
func (s *Set[K]) rotateExpired(now time.Time) {
	switch past := now.Sub(s.rotatedAt); {
	case past >= 2*s.ttl:
		s.rotate(now)
		s.rotate(now)
	case past >= s.ttl:
		s.rotate(now)
	}
}

func (s *Set[K]) rotate(now time.Time) {
	s.previous, s.current = s.current, make(map[K]struct{})
	s.rotatedAt = now
}
