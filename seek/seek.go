// Package seek finds the entry that holds a job, so that a request which reached
// another entry can be handed on.
//
// The membership says it, without a call to anybody, also while the key-value
// service is down. Only when it names nobody, as in the first seconds after a
// change of holder, is the service read, and then not more often than once in a
// few seconds for each job, however many requests wait.
package seek

import (
	"context"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/lease"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/wire"
	"golang.org/x/sync/singleflight"
)

const (
	// defaultKeep is how long an answer of the service is used again. A holder
	// that changed meanwhile refuses what is no longer its own.
	defaultKeep = 5 * time.Second
	// unknownHolder is the reason's word for machines.
	unknownHolder = "noHolder"
)

type (
	// Finder is safe for concurrent use. See New.
	Finder struct {
		members members
		service service
		keep    time.Duration
		flights singleflight.Group

		mu    sync.Mutex
		cache map[string]answer
	}

	// Option changes a Finder as New makes it.
	Option func(*Finder)

	// members is what the finder needs of the membership; fleet.View has it.
	members interface {
		Holder(job string) (*wire.EntryState, int64)
	}

	// service is what the finder needs of the key-value service; keyval.Client
	// has it.
	service interface {
		Get(ctx context.Context, key string) (record.Record, error)
	}

	answer struct {
		at       time.Time
		instance string
		address  string
		fence    int64
		err      error
	}
)

// New returns a finder.
//
//	f := seek.New(view, keyval.New(base))
//	instance, address, fence, err := f.Find(ctx, "deliver/tutor")
func New(members members, service service, opts ...Option) *Finder {
	f := &Finder{members: members, service: service, keep: defaultKeep, cache: map[string]answer{}}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// WithKeep sets how long an answer of the service is used again. The default is
// 5 seconds.
func WithKeep(d time.Duration) Option {
	return func(f *Finder) { f.keep = d }
}

// Find returns who holds a job, its address, and the fencing number that it
// holds the job with. A *fault.NotRunError says that nobody is known to.
func (f *Finder) Find(ctx context.Context, job string) (instance, address string, fence int64, err error) {
	if e, fence := f.members.Holder(job); e != nil {
		return e.GetInstance(), e.GetAddress(), fence, nil
	}
	a := f.read(ctx, job)
	if a.err != nil {
		return "", "", 0, &fault.NotRunError{
			Cause:      unknownHolder,
			Reason:     "nobody is known to hold " + job + ": " + a.err.Error(),
			RetryAfter: f.keep,
		}
	}
	return a.instance, a.address, a.fence, nil
}

// read asks the service, or returns its last answer while that is fresh. Errors
// are kept as well: in an outage each request would otherwise ask again.
func (f *Finder) read(ctx context.Context, job string) answer {
	f.mu.Lock()
	a, ok := f.cache[job]
	f.mu.Unlock()
	if ok && time.Since(a.at) < f.keep {
		return a
	}
	got, _, _ := f.flights.Do(job, func() (any, error) {
		// The first one who asks may give up; the others still want the answer.
		rec, err := f.service.Get(context.WithoutCancel(ctx), lease.Prefix+job)
		a := answer{at: time.Now(), err: err}
		if err == nil {
			a.instance, a.address, a.fence, a.err = lease.Holder(rec)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cache[job] = a
		return a, nil
	})
	return got.(answer)
}
