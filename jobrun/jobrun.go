// Package jobrun runs jobs while this entry holds their leases.
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

// pollInterval is how often the desired jobs and their leases are checked, in addition
// to when a lease changes.
const pollInterval = time.Second

type (
	// Runner competes for leases and runs their jobs. See New and Run.
	Runner struct {
		desired func() []string
		elector func(job string, onChange func()) *lease.Elector
		runJob  func(ctx context.Context, job string, fence int64)
		log     *log.Logger
		wake    chan struct{}

		mu   sync.Mutex
		jobs map[string]*job
	}

	// Option configures a Runner; see New.
	Option func(*Runner)

	job struct {
		elector *lease.Elector
		// release stops the elector, which releases the lease.
		release  context.CancelFunc
		released chan struct{}
		// fence, stop and done belong to the current run; fence is 0 for none.
		fence int64
		stop  context.CancelFunc
		done  chan struct{}
	}
)

// New returns a Runner for the jobs that desired lists. elector returns what
// competes for a job's lease and calls onChange when it was acquired or lost.
// runJob runs the job until its context ends.
//
//	r := jobrun.New(desired, elector, runJob)
//	r.Run(ctx)
func New(
	desired func() []string,
	elector func(job string, onChange func()) *lease.Elector,
	runJob func(ctx context.Context, job string, fence int64),
	opts ...Option,
) *Runner {
	r := &Runner{
		desired: desired,
		elector: elector,
		runJob:  runJob,
		log:     log.New(io.Discard),
		wake:    make(chan struct{}, 1),
		jobs:    map[string]*job{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(r *Runner) { r.log = l }
}

// Run competes for the desired jobs and runs those whose lease it holds, until ctx
// ends. Then it stops each job before it releases its lease, so that the job never
// runs on two entries at once.
func (r *Runner) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		r.reconcile(ctx)
		select {
		case <-ctx.Done():
			r.shutdown()
			return
		case <-tick.C:
		case <-r.wake:
		}
	}
}

// Held returns the jobs that this entry runs, by name.
func (r *Runner) Held() []*wire.JobState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*wire.JobState
	for name, j := range r.jobs {
		if j.fence != 0 {
			_, held := j.elector.Held()
			out = append(out, &wire.JobState{Job: name, Fence: j.fence, InDoubt: !held})
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

func (r *Runner) reconcile(ctx context.Context) {
	desired := r.desired()
	for _, name := range desired {
		r.compete(ctx, name)
	}
	for name, j := range r.snapshot() {
		if !slices.Contains(desired, name) {
			r.releaseJob(j)
			r.remove(name)
			continue
		}
		r.reconcileJob(ctx, name, j)
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

func (r *Runner) remove(name string) {
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
	// The lease outlives ctx: it is released only after the job has stopped.
	ctx, release := context.WithCancel(context.WithoutCancel(ctx))
	j := &job{elector: r.elector(name, r.notify), release: release, released: make(chan struct{})}
	r.jobs[name] = j
	go func() {
		defer close(j.released)
		j.elector.Run(ctx)
	}()
}

func (r *Runner) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reconcileJob starts or stops a job according to its lease. When in doubt, because the
// metadata store has not answered for longer than the lease's TTL, it lets the job
// continue: either no other entry can acquire the job, or the fencing token protects
// the one that did.
func (r *Runner) reconcileJob(ctx context.Context, name string, j *job) {
	fence, held := j.elector.Held()
	if !held {
		fence, held = j.elector.InDoubt()
	}
	if !held {
		fence = 0
	}
	if fence == j.fence {
		return
	}
	r.stopRun(j)
	if fence == 0 {
		r.log.Warn("job stopped: lease lost", "job", name)
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
	r.log.Info("job started: lease acquired", "job", name, "fence", fence)
	go func() {
		defer close(done)
		r.runJob(ctx, name, fence)
	}()
}

// stopRun stops the current run, if any, and waits until it has ended.
func (r *Runner) stopRun(j *job) {
	r.mu.Lock()
	stop, done := j.stop, j.done
	j.fence, j.stop, j.done = 0, nil, nil
	r.mu.Unlock()
	if stop != nil {
		stop()
		<-done
	}
}

func (r *Runner) releaseJob(j *job) {
	r.stopRun(j)
	j.release()
	<-j.released
}

func (r *Runner) shutdown() {
	var wg sync.WaitGroup
	for _, j := range r.snapshot() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.releaseJob(j)
		}()
	}
	wg.Wait()
}
