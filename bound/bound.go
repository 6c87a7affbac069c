// Package bound divides a limited amount, such as memory or connections, among holders that
// nobody controls, and takes it back from some of them when there isn't enough for all.
//
// A limit for each holder doesn't bound their sum, and a limit for the sum alone lets those who hold
// much and never finish keep everyone else out. Here a claim has a rank, which says how much is lost
// with it. When a claim can't grow, one of the lowest rank is evicted: the one that has waited
// longest without growing if that is long enough to count as stalled, or else the largest. So
// holders that need little, and those that make progress, finish beside any number of others.
package bound

import (
	"container/list"
	"sync"
	"time"
)

// The ranks of claims, in the order in which they are evicted.
const (
	// First, Second and Third are ranks of claims that may be evicted.
	First Rank = iota
	Second
	Third
	// Stalled is the rank of claims that may be evicted once they have stalled.
	Stalled
	// Pinned is the rank of claims that are never evicted.
	Pinned

	ranks = int(Pinned)
)

// defaultStallTime is how long a claim may go without growing until it counts as stalled.
const defaultStallTime = time.Second

type (
	// Rank says how much is lost when a claim is evicted.
	Rank int

	// Pool is an amount that claims share. It is safe for concurrent use. See New.
	Pool struct {
		total     int64
		stallTime time.Duration
		now       func() time.Time
		// parent is the pool of which this one is a part; nil if there is none.
		parent *Pool

		mu sync.Mutex
		// used is the sum of all claims, evictable that of those that aren't pinned.
		used, evictable int64
		// claims has the claims that aren't pinned, by rank; those that grew last come last.
		claims [ranks]list.List
		// evictions and refusals are the numbers of claims that were evicted and that could not grow.
		evictions, refusals int64
	}

	// Option configures a Pool in New.
	Option func(*Pool)

	// Claim is what one holder has of a pool.
	Claim struct {
		pool  *Pool
		evict func()

		// The pool's mutex guards the fields below. isOver is set once the claim was evicted or
		// released.
		size    int64
		rank    Rank
		elem    *list.Element
		grownAt time.Time
		isOver  bool
	}
)

// New returns a pool of the given amount.
//
//	p := bound.New(memory / 8)
//	c := p.Claim(bound.First, conn.Close)
//	defer c.Release()
//	if !c.Grow(n) { return errFull }
func New(total int64, opts ...Option) *Pool {
	p := &Pool{total: total, stallTime: defaultStallTime, now: time.Now}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// WithStallTime sets how long a claim may go without growing until it counts as stalled. The default
// is 1 s.
func WithStallTime(d time.Duration) Option { return func(p *Pool) { p.stallTime = d } }

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// WithParent makes the pool a part of another one, which must have enough as well. The parts of a pool
// may add up to more than it has. By default a pool is no part of another one.
func WithParent(parent *Pool) Option { return func(p *Pool) { p.parent = parent } }

// Total returns the amount of the pool.
func (p *Pool) Total() int64 { return p.total }

// Used returns the sum of all claims.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Evictions returns the number of claims that were evicted so far.
func (p *Pool) Evictions() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evictions
}

// Refusals returns how often a claim could not grow so far.
func (p *Pool) Refusals() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusals
}

// Fits reports whether a claim could grow to n if all that may be evicted were.
func (p *Pool) Fits(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used-p.evictable+n <= p.total && (p.parent == nil || p.parent.Fits(n-p.evictable))
}

// Take takes n for a holder without a claim, for which claims may be evicted. It reports false and changes
// nothing if there isn't enough.
func (p *Pool) Take(n int64) bool { return p.grow(&Claim{pool: p, rank: Pinned}, n) }

// EvictStalled evicts all claims of a rank below the given one that have stalled.
func (p *Pool) EvictStalled(below Rank) {
	p.mu.Lock()
	var victims []*Claim
	stalledAt := p.now().Add(-p.stallTime)
	for rank := range below {
		for e := p.claims[rank].Front(); e != nil; e = e.Next() {
			if v := e.Value.(*Claim); !v.grownAt.After(stalledAt) {
				victims = append(victims, v)
			}
		}
	}
	for _, v := range victims {
		v.end()
		p.evictions++
	}
	p.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
}

// Adjust takes n, or returns it if it is negative, whether there is enough or not. It is for what can't be
// refused.
func (p *Pool) Adjust(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adjust(n)
}

// adjust changes what is used of the pool and its parent. The caller holds the pool's mutex.
func (p *Pool) adjust(n int64) {
	p.used += n
	if p.parent != nil {
		p.parent.Adjust(n)
	}
}

// Claim returns a claim of nothing. evict is called when it is evicted, by the goroutine that needs
// its share, and returns once the share is free; it must not use the pool.
func (p *Pool) Claim(rank Rank, evict func()) *Claim {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &Claim{pool: p, evict: evict, rank: rank, grownAt: p.now()}
	c.enlist()
	return c
}

// Grow adds n to the claim, for which others may be evicted. It reports false and changes nothing if
// there isn't enough, or if the claim was evicted.
func (c *Claim) Grow(n int64) bool { return c.pool.grow(c, n) }

func (p *Pool) grow(c *Claim, n int64) bool {
	p.mu.Lock()
	victims, ok := p.makeRoom(c, n)
	if ok {
		c.delist()
		c.size += n
		p.used += n
		c.grownAt = p.now()
		c.enlist()
	} else {
		p.refusals++
	}
	p.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return ok
}

// Pool returns the pool of the claim.
func (c *Claim) Pool() *Pool { return c.pool }

// Shrink lowers the claim to n if it is larger.
func (c *Claim) Shrink(n int64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.isOver || c.size <= n {
		return
	}
	c.delist()
	c.pool.adjust(n - c.size)
	c.size = n
	c.enlist()
}

// SetRank changes the rank. It reports false if the claim was evicted.
func (c *Claim) SetRank(rank Rank) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.isOver {
		return false
	}
	if c.rank != rank {
		c.delist()
		c.rank, c.grownAt = rank, c.pool.now()
		c.enlist()
	}
	return true
}

// Release ends the claim.
func (c *Claim) Release() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.end()
}

// makeRoom evicts claims until c can grow by n, returns them and takes n from the parent. It reports false
// if that isn't possible, or if c itself would be the one to evict.
func (p *Pool) makeRoom(c *Claim, n int64) (victims []*Claim, ok bool) {
	if c.isOver {
		return nil, false
	}
	own := int64(0)
	if c.elem != nil {
		own = c.size
	}
	evictable := p.evictable - own
	if p.used-evictable+n > p.total || (p.parent != nil && !p.parent.Fits(n-evictable)) {
		return nil, false
	}
	for p.used+n > p.total || !p.takeFromParent(n) {
		v := p.victim(c, n)
		if v == nil {
			return victims, false
		}
		v.end()
		p.evictions++
		victims = append(victims, v)
	}
	return victims, true
}

func (p *Pool) takeFromParent(n int64) bool { return p.parent == nil || p.parent.Take(n) }

// victim returns the claim to evict so that c can grow by n, or nil if that is c.
func (p *Pool) victim(c *Claim, n int64) *Claim {
	stalledAt := p.now().Add(-p.stallTime)
	for rank := range p.claims {
		var largest *Claim
		for e := p.claims[rank].Front(); e != nil; e = e.Next() {
			v := e.Value.(*Claim)
			switch {
			case v != c && v.size > 0 && !v.grownAt.After(stalledAt):
				return v
			case Rank(rank) < Stalled && v != c && v.size > 0 && (largest == nil || v.size > largest.size):
				largest = v
			}
		}
		if largest == nil {
			continue
		}
		if c.rank == Rank(rank) && c.size+n > largest.size {
			return nil
		}
		return largest
	}
	return nil
}

// end takes the claim out of the pool. The caller holds the pool's mutex.
func (c *Claim) end() {
	if c.isOver {
		return
	}
	c.delist()
	c.pool.adjust(-c.size)
	c.size, c.isOver = 0, true
}

func (c *Claim) enlist() {
	if c.rank < Pinned {
		c.elem = c.pool.claims[c.rank].PushBack(c)
		c.pool.evictable += c.size
	}
}

func (c *Claim) delist() {
	if c.elem != nil {
		c.pool.claims[c.rank].Remove(c.elem)
		c.pool.evictable -= c.size
		c.elem = nil
	}
}
