package simeng

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/engst"
)

type (
	// process is the engine state that a crash loses. Server.mu guards it.
	process struct {
		config *config
		// readyAt is when the engine accepts requests again after a crash.
		readyAt time.Time
		// crashed is closed when this process ends.
		crashed chan struct{}
		fence   int64
		epoch   int64
		role    string
		models  map[string]*model
		streams map[string]*stream
		running []*stream
		// waiting is ordered by priority, then by arrival.
		waiting []*stream
		loads   []loadSample
		cache   *cache
	}

	model struct {
		version string
		staged  map[string]bool
		// switching is set while a switch pauses the model's streams.
		switching bool
	}

	// loadSample holds the numbers of running and waiting streams from at on.
	loadSample struct {
		at      time.Time
		running int
		waiting int
	}
)

func newProcess(c *config) *process {
	p := &process{
		config:  c,
		crashed: make(chan struct{}),
		role:    c.role,
		models:  make(map[string]*model),
		streams: make(map[string]*stream),
		cache:   newCache(c),
	}
	for name, version := range c.models {
		p.models[name] = &model{version: version, staged: map[string]bool{version: true}}
	}
	return p
}

// state returns the reported state, with the load as of loadLag ago.
func (p *process) state(now time.Time, checksFence bool) engst.State {
	old := p.loadAt(now.Add(-p.config.loadLag))
	st := engst.State{
		Epoch:   p.epoch,
		Role:    p.role,
		Slots:   p.config.slots,
		Running: old.running,
		Waiting: old.waiting,
	}
	if checksFence {
		st.Fence = p.fence
	}
	names := make([]string, 0, len(p.models))
	for name := range p.models {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		m := p.models[name]
		st.Add(name, m.version, m.stagedVersions())
	}
	return st
}

func (m *model) stagedVersions() []string {
	out := make([]string, 0, len(m.staged))
	for v := range m.staged {
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}

// recordLoad records the current load, which state reports after loadLag.
func (p *process) recordLoad(now time.Time) {
	p.loads = append(p.loads, loadSample{at: now, running: len(p.running), waiting: len(p.waiting)})
	p.loadAt(now.Add(-p.config.loadLag))
}

// loadAt returns the load at the given time and drops older samples.
func (p *process) loadAt(at time.Time) loadSample {
	var found loadSample
	last := -1
	for i, ld := range p.loads {
		if ld.at.After(at) {
			break
		}
		found, last = ld, i
	}
	if last > 0 {
		p.loads = slices.Delete(p.loads, 0, last)
	}
	return found
}

// admit gives st a slot or queues it. It returns false if all slots are taken and
// the queue is full.
func (p *process) admit(st *stream) bool {
	if len(p.running) >= p.config.slots && len(p.waiting) >= p.config.queue {
		return false
	}
	p.streams[st.req.ID] = st
	p.enqueue(st, false)
	if p.config.preempt {
		p.preempt(st)
	}
	p.grantSlots()
	return true
}

// enqueue queues st behind the streams of the same priority, or ahead of them if
// it was preempted.
func (p *process) enqueue(st *stream, preempted bool) {
	pos := len(p.waiting)
	for i, other := range p.waiting {
		if other.req.Priority < st.req.Priority || preempted && other.req.Priority == st.req.Priority {
			pos = i
			break
		}
	}
	st.granted = make(chan struct{})
	p.waiting = slices.Insert(p.waiting, pos, st)
}

// preempt queues the running stream of the lowest priority again if all slots are
// taken and st has a higher priority. That stream later resumes where it stopped.
func (p *process) preempt(st *stream) {
	if len(p.running) < p.config.slots {
		return
	}
	lowest := p.running[0]
	for _, other := range p.running[1:] {
		if other.req.Priority <= lowest.req.Priority {
			lowest = other
		}
	}
	if lowest.req.Priority < st.req.Priority {
		p.running = slices.DeleteFunc(p.running, func(o *stream) bool { return o == lowest })
		p.enqueue(lowest, true)
	}
}

// grantSlots assigns free slots to waiting streams.
func (p *process) grantSlots() {
	now := time.Now()
	for len(p.running) < p.config.slots && len(p.waiting) > 0 {
		st := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.running = append(p.running, st)
		st.generatedUntil = now
		close(st.granted)
	}
	p.recordLoad(now)
}

// remove removes st, whether it runs or waits.
func (p *process) remove(st *stream) {
	same := func(o *stream) bool { return o == st }
	p.running = slices.DeleteFunc(p.running, same)
	p.waiting = slices.DeleteFunc(p.waiting, same)
	if p.streams[st.req.ID] == st {
		delete(p.streams, st.req.ID)
	}
	p.grantSlots()
}

// rate returns the current rate of each running stream in tokens per second.
func (p *process) rate(slowness float64) float64 {
	r := min(p.config.streamRate, p.config.totalRate/float64(max(1, len(p.running))))
	if slowness > 1 {
		r /= slowness
	}
	return r
}
