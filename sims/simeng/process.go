package simeng

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/engst"
)

type (
	// process is all that an engine forgets when it crashes. The server's lock
	// guards it.
	process struct {
		config *config
		// starts is when the engine answers again after a crash.
		starts time.Time
		// crashed is closed when this process ends.
		crashed chan struct{}
		fence   int64
		epoch   int64
		role    string
		models  map[string]*model
		streams map[string]*stream
		running []*stream
		// waiting is in order of priority, then of arrival.
		waiting []*stream
		loads   []load
		cache   *cache
	}

	model struct {
		version string
		staged  map[string]bool
		// changing is set while a switch pauses the model's streams.
		changing bool
	}

	// load is how much ran and waited from a moment on.
	load struct {
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

// state is what the engine says of itself.
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

// noteLoad keeps the load for the state, which tells it late.
func (p *process) noteLoad(now time.Time) {
	p.loads = append(p.loads, load{at: now, running: len(p.running), waiting: len(p.waiting)})
	p.loadAt(now.Add(-p.config.loadLag))
}

// loadAt returns the load at a moment, and forgets what was before.
func (p *process) loadAt(at time.Time) load {
	var found load
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

// admit gives a stream a slot, or a place among those that wait. It returns
// false when there is neither.
func (p *process) admit(st *stream) bool {
	if len(p.running) >= p.config.slots && len(p.waiting) >= p.config.queue {
		return false
	}
	p.streams[st.req.ID] = st
	p.wait(st, false)
	if p.config.preempt {
		p.preempt(st)
	}
	p.fill()
	return true
}

// wait puts a stream behind those of its own priority, or before them if it has
// run already.
func (p *process) wait(st *stream, ran bool) {
	place := len(p.waiting)
	for i, other := range p.waiting {
		if other.req.Priority < st.req.Priority || ran && other.req.Priority == st.req.Priority {
			place = i
			break
		}
	}
	st.granted = make(chan struct{})
	p.waiting = slices.Insert(p.waiting, place, st)
}

// preempt takes the slot of the least important running stream if all slots are
// taken and st outranks it. That stream goes on later where it stopped.
func (p *process) preempt(st *stream) {
	if len(p.running) < p.config.slots {
		return
	}
	least := p.running[0]
	for _, other := range p.running[1:] {
		if other.req.Priority <= least.req.Priority {
			least = other
		}
	}
	if least.req.Priority < st.req.Priority {
		p.running = slices.DeleteFunc(p.running, func(o *stream) bool { return o == least })
		p.wait(least, true)
	}
}

// fill hands free slots to those that wait.
func (p *process) fill() {
	now := time.Now()
	for len(p.running) < p.config.slots && len(p.waiting) > 0 {
		st := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.running = append(p.running, st)
		st.last = now
		close(st.granted)
	}
	p.noteLoad(now)
}

// leave takes a stream out, wherever it stands.
func (p *process) leave(st *stream) {
	same := func(o *stream) bool { return o == st }
	p.running = slices.DeleteFunc(p.running, same)
	p.waiting = slices.DeleteFunc(p.waiting, same)
	if p.streams[st.req.ID] == st {
		delete(p.streams, st.req.ID)
	}
	p.fill()
}

// rate is how many tokens a second each running stream makes now.
func (p *process) rate(slowness float64) float64 {
	r := min(p.config.streamRate, p.config.totalRate/float64(max(1, len(p.running))))
	if slowness > 1 {
		r /= slowness
	}
	return r
}
