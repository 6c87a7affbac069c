// Package jobrun does jobs as long as this entry holds their leases.
package jobrun

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/lease"
	"github.com/lavendermux/lavendermux/wire"
)

// look is how often the wanted jobs and their leases are looked at beside being
// told of a change.
const look = time.Second

type (
	// Runner does jobs. See New and Run.
	Runner struct {
		wanted func() []string
		keeper func(job string, change func()) *lease.Keeper
		do     func(ctx context.Context, job string, fence int64)
		log    *log.Logger
		wake   chan struct{}

		mu   sync.Mutex
		jobs map[string]*job
	}

	// Option changes a Runner as New makes it.
	Option func(*Runner)

	job struct {
		keeper *lease.Keeper
		// release ends the competition for the lease and hands it back.
		release context.CancelFunc
		handed  chan struct{}
		// fence, stop and done are of the run under way; fence is 0 for none.
		fence int64
		stop  context.CancelFunc
		done  chan struct{}
	}
)

// New returns a runner of the jobs that wanted names. Keeper competes for a
// job's lease and calls change when it was won or lost; do does the job until
// its context ends.
//
//	r := jobrun.New(wanted, keeper, do)
//	r.Run(ctx)
func New(
	wanted func() []string,
	keeper func(job string, change func()) *lease.Keeper,
	do func(ctx context.Context, job string, fence int64),
	opts ...Option,
) *Runner {
	r := &Runner{
		wanted: wanted,
		keeper: keeper,
		do:     do,
		log:    log.New(io.Discard),
		wake:   make(chan struct{}, 1),
		jobs:   map[string]*job{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithLog sets where the runner logs. The default is nowhere.
func WithLog(l *log.Logger) Option {
	return func(r *Runner) { r.log = l }
}

// Run competes for the wanted jobs and does those that it wins, until ctx ends.
// Then each job is stopped before its lease is handed back, so that a successor
// never starts beside it.
func (r *Runner) Run(ctx context.Context) {
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			r.shutdown()
			return
		case <-tick.C:
		case <-r.wake:
		}
	}
}

// Held returns the jobs that this entry does.
func (r *Runner) Held() []*wire.JobState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*wire.JobState
	for name, j := range r.jobs {
		if j.fence != 0 {
			_, sure := j.keeper.Held()
			out = append(out, &wire.JobState{Job: name, Fence: j.fence, InDoubt: !sure})
		}
	}
	slices.SortFunc(out, func(a, b *wire.JobState) int {
		if a.GetJob() < b.GetJob() {
			return -1
		}
		return 1
	})
	return out
}

func (r *Runner) step(ctx context.Context) {
	wanted := r.wanted()
	for _, name := range wanted {
		r.compete(ctx, name)
	}
	for name, j := range r.snapshot() {
		if !slices.Contains(wanted, name) {
			r.end(j)
			r.drop(name)
			continue
		}
		r.follow(ctx, name, j)
	}
}

func (r *Runner) snapshot() map[string]*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]*job, len(r.jobs))
	for name, j := range r.jobs {
		out[name] = j
	}
	return out
}

func (r *Runner) drop(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, name)
}

func (r *Runner) compete(ctx context.Context, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[name] != nil {
		return
	}
	// The lease outlives ctx: it is handed back only after the job has stopped.
	ctx, release := context.WithCancel(context.WithoutCancel(ctx))
	j := &job{keeper: r.keeper(name, r.changed), release: release, handed: make(chan struct{})}
	r.jobs[name] = j
	go func() {
		defer close(j.handed)
		j.keeper.Run(ctx)
	}()
}

func (r *Runner) changed() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// follow starts or stops a job as its lease says. In doubt, when the key-value
// service is silent past the term, the job goes on: either nobody can take over,
// or whoever has is protected by the fencing number.
func (r *Runner) follow(ctx context.Context, name string, j *job) {
	fence, held := j.keeper.Held()
	if !held {
		fence, held = j.keeper.InDoubt()
	}
	if !held {
		fence = 0
	}
	if fence == j.fence {
		return
	}
	r.halt(j)
	if fence == 0 {
		r.log.Warn("job lost", "job", name)
		return
	}
	r.start(ctx, name, j, fence)
}

func (r *Runner) start(ctx context.Context, name string, j *job, fence int64) {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	r.mu.Lock()
	j.fence, j.stop, j.done = fence, stop, done
	r.mu.Unlock()
	r.log.Info("job won", "job", name, "fence", fence)
	go func() {
		defer close(done)
		r.do(ctx, name, fence)
	}()
}

// halt stops the run under way and waits for its end.
func (r *Runner) halt(j *job) {
	r.mu.Lock()
	stop, done := j.stop, j.done
	j.fence, j.stop, j.done = 0, nil, nil
	r.mu.Unlock()
	if stop != nil {
		stop()
		<-done
	}
}

func (r *Runner) end(j *job) {
	r.halt(j)
	j.release()
	<-j.handed
}

func (r *Runner) shutdown() {
	var wg sync.WaitGroup
	for _, j := range r.snapshot() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.end(j)
		}()
	}
	wg.Wait()
}
