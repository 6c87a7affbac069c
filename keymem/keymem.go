// Package keymem remembers which requests a door has run, by the caller's
// idempotency key, so that a second copy gets the first one's answer instead of
// running again.
package keymem

import (
	"fmt"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

const (
	// Run means that the caller of Begin shall run the request.
	Run verdict = iota
	// Answer means that an earlier copy has run: its answer is returned.
	Answer
	// Wait means that an earlier copy is running now.
	Wait
	// Lost means that an earlier copy ran and its outcome is unknown.
	Lost
	// Young means that the door has started too recently to know whether an
	// earlier copy ran before that.
	Young
)

type (
	// Memory is one door's memory. See New.
	Memory struct {
		mu      sync.Mutex
		entries map[string]*entry
		// order holds the keys as they came, so that the oldest go first. All
		// keys of a door have the same window, since it has one service.
		order []string
		max   int
	}

	// Option changes a Memory as New makes it.
	Option func(*Memory)

	verdict int

	// ReusedError says that a key came back with another request.
	ReusedError struct {
		// Key is the caller's.
		Key string
	}

	// FullError says that the memory can take no more keys for now.
	FullError struct {
		// Limit is how many it holds.
		Limit int
		// RetryAfter is when the oldest key is forgotten.
		RetryAfter time.Duration
	}

	entry struct {
		digest  uint64
		expires time.Time
		done    chan struct{}
		// resp is nil until the request ended, and after it if the outcome is
		// unknown.
		resp *wire.CallResponse
	}
)

// defaultMax is how many keys a door remembers. A kept answer is about a
// kilobyte, so this is some 64 MB, half of a node's budget; at 100 keyed
// requests a second and a window of ten minutes a door holds 60,000.
const defaultMax = 65536

// New returns an empty memory.
//
//	m := keymem.New()
//	verdict, resp, done, err := m.Begin(key, digest, false, since, window, now)
func New(opts ...Option) *Memory {
	m := &Memory{entries: map[string]*entry{}, max: defaultMax}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithMax bounds how many keys are remembered. The default is 65,536.
func WithMax(n int) Option {
	return func(m *Memory) { m.max = n }
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q was used for another request", e.Key)
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the door remembers %d idempotency keys and can take no more for %s", e.Limit, e.RetryAfter)
}

// Begin says what to do with a request under key whose contents have digest.
// first is the caller's word that it never sent this key before, and since is
// when the door has been the key's home and known what ran under it, zero for
// always. After Run the caller
// must call End. With Wait comes a channel that is closed when the earlier copy
// has ended; ask again then.
//
// A door that has been the key's home for less than window cannot know whether
// a copy ran before that, so unless the caller says it is the first, the
// verdict is Young: running it could book the same slot twice.
func (m *Memory) Begin(
	key string, digest uint64, first bool, since time.Time, window time.Duration, now time.Time,
) (verdict, *wire.CallResponse, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	e := m.entries[key]
	switch {
	case e == nil && !first && Sure(since, window, now) > 0:
		return Young, nil, nil, nil
	case e == nil:
		return m.add(key, digest, window, now)
	case e.digest != digest:
		return Run, nil, nil, &ReusedError{Key: key}
	case !e.ended():
		return Wait, nil, e.done, nil
	case e.resp == nil:
		return Lost, nil, nil, nil
	}
	return Answer, e.resp, nil, nil
}

// End notes how the request under key ended; resp is nil when the outcome is
// unknown.
func (m *Memory) End(key string, resp *wire.CallResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil && !e.ended() {
		e.resp = resp
		close(e.done)
	}
}

// Undo forgets key: its request did not run.
func (m *Memory) Undo(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil && !e.ended() {
		close(e.done)
		delete(m.entries, key)
	}
}

// Sure returns how long it takes until the memory of a key that is at home here
// since a time covers window, 0 when it does.
func Sure(since time.Time, window time.Duration, now time.Time) time.Duration {
	return max(0, window-now.Sub(since))
}

func (m *Memory) add(
	key string, digest uint64, window time.Duration, now time.Time,
) (verdict, *wire.CallResponse, <-chan struct{}, error) {
	if len(m.entries) >= m.max {
		return Run, nil, nil, &FullError{Limit: m.max, RetryAfter: m.soonest(now)}
	}
	m.entries[key] = &entry{digest: digest, expires: now.Add(window), done: make(chan struct{})}
	m.order = append(m.order, key)
	return Run, nil, nil, nil
}

// forget drops keys past their window, but never one whose request still runs.
func (m *Memory) forget(now time.Time) {
	for len(m.order) > 0 {
		key := m.order[0]
		e := m.entries[key]
		if e != nil && (!e.ended() || now.Before(e.expires)) {
			return
		}
		delete(m.entries, key)
		m.order = m.order[1:]
	}
}

func (m *Memory) soonest(now time.Time) time.Duration {
	if len(m.order) == 0 {
		return 0
	}
	oldest := m.entries[m.order[0]]
	if oldest == nil {
		return 0
	}
	return max(0, oldest.expires.Sub(now))
}

func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}
