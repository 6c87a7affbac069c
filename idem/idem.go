// Package idem caches the answers to requests by the caller's idempotency key, so that a
// second attempt gets the answer of the first one instead of running again.
package idem

import (
	"fmt"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

const (
	// Run means that the caller must run the request.
	Run decision = iota
	// Replay means that an earlier attempt has run: its answer is returned.
	Replay
	// Wait means that an earlier attempt is in flight.
	Wait
	// OutcomeUnknown means that an earlier attempt ran and its outcome is unknown.
	OutcomeUnknown
	// ShortHistory means that the sidecar has owned the key too briefly to know whether an earlier
	// attempt ran before that.
	ShortHistory
)

type (
	// Cache holds the answers of one sidecar by idempotency key; safe for concurrent use.
	// See New.
	Cache struct {
		mu      sync.Mutex
		entries map[string]*entry
		// order holds the keys in order of arrival, so that the oldest expire first. All
		// keys of a sidecar have the same window, since it has one service.
		order []string
		max   int
	}

	// Option configures a [Cache]; see New.
	Option func(*Cache)

	decision int

	// KeyReusedError says that a key was reused for a different request.
	KeyReusedError struct {
		// Key is the idempotency key.
		Key string
	}

	// FullError says that the cache is full.
	FullError struct {
		// Limit is the number of keys that it holds.
		Limit int
		// RetryAfter is the time until the oldest key expires.
		RetryAfter time.Duration
	}

	entry struct {
		digest  uint64
		expires time.Time
		done    chan struct{}
		// resp is nil while the request is in flight, and stays so if the outcome is
		// unknown.
		resp *wire.CallResponse
	}
)

// defaultMaxKeys bounds the keys that a sidecar remembers. A cached answer takes about a
// kilobyte, so this is some 64 MB, half of a node's budget; at 100 requests with keys a
// second and a window of ten minutes a sidecar holds 60,000.
const defaultMaxKeys = 65536

// New returns an empty cache.
//
//	m := idem.New()
//	decision, resp, done, err := m.Begin(key, digest, false, ownedSince, window, now)
func New(opts ...Option) *Cache {
	m := &Cache{entries: map[string]*entry{}, max: defaultMaxKeys}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithMaxKeys bounds the keys that are remembered. The default is 65,536.
func WithMaxKeys(n int) Option {
	return func(m *Cache) { m.max = n }
}

// Error names the key.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q was used for another request", e.Key)
}

// Error names the limit and the time until a key expires.
func (e *FullError) Error() string {
	return fmt.Sprintf("the door remembers %d idempotency keys and can take no more for %s", e.Limit, e.RetryAfter)
}

// Begin decides what to do with a request with the given key, whose contents hash to
// digest. isFirst is the caller's assurance that it hasn't sent this key before. ownedSince
// is the time since which the sidecar has owned the key and known what ran under it, zero
// for always. A caller that runs the request must report its end afterwards. While an
// earlier attempt is in flight, the channel is closed when it ends; call again then.
//
// A sidecar that has owned the key for less than window can't know whether an attempt ran
// before that. Unless isFirst is set, the decision is then not to run the request: it could
// for example book the same slot twice.
func (m *Cache) Begin(
	key string, digest uint64, isFirst bool, ownedSince time.Time, window time.Duration, now time.Time,
) (decision, *wire.CallResponse, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropExpired(now)
	e := m.entries[key]
	switch {
	case e == nil && !isFirst && UntilCovered(ownedSince, window, now) > 0:
		return ShortHistory, nil, nil, nil
	case e == nil:
		return m.add(key, digest, window, now)
	case e.digest != digest:
		return Run, nil, nil, &KeyReusedError{Key: key}
	case !e.isDone():
		return Wait, nil, e.done, nil
	case e.resp == nil:
		return OutcomeUnknown, nil, nil, nil
	}
	return Replay, e.resp, nil, nil
}

// End records the answer to the request under key; resp is nil when the outcome is unknown.
func (m *Cache) End(key string, resp *wire.CallResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil && !e.isDone() {
		e.resp = resp
		close(e.done)
	}
}

// Forget removes key, because its request did not run.
func (m *Cache) Forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil && !e.isDone() {
		close(e.done)
		delete(m.entries, key)
	}
}

// UntilCovered returns the time until the cache covers window for a key owned since ownedSince; 0
// when it does.
func UntilCovered(ownedSince time.Time, window time.Duration, now time.Time) time.Duration {
	return max(0, window-now.Sub(ownedSince))
}

func (m *Cache) add(
	key string, digest uint64, window time.Duration, now time.Time,
) (decision, *wire.CallResponse, <-chan struct{}, error) {
	if len(m.entries) >= m.max {
		return Run, nil, nil, &FullError{Limit: m.max, RetryAfter: m.nextExpiry(now)}
	}
	m.entries[key] = &entry{digest: digest, expires: now.Add(window), done: make(chan struct{})}
	m.order = append(m.order, key)
	return Run, nil, nil, nil
}

// dropExpired drops keys past their window, but never one whose request is in flight.
func (m *Cache) dropExpired(now time.Time) {
	for len(m.order) > 0 {
		key := m.order[0]
		e := m.entries[key]
		if e != nil && (!e.isDone() || now.Before(e.expires)) {
			return
		}
		delete(m.entries, key)
		m.order = m.order[1:]
	}
}

func (m *Cache) nextExpiry(now time.Time) time.Duration {
	if len(m.order) == 0 {
		return 0
	}
	oldest := m.entries[m.order[0]]
	if oldest == nil {
		return 0
	}
	return max(0, oldest.expires.Sub(now))
}

func (e *entry) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}
