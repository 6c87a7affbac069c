package simeng

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/engst"
)

type (
	// life is all that an engine forgets when it crashes. The server's lock
	// guards it.
	life struct {
		config *config
		// starts is when the engine answers again after a crash.
		starts time.Time
		// crashed is closed when this life ends.
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

func newLife(c *config) *life {
	l := &life{
		config:  c,
		crashed: make(chan struct{}),
		role:    c.role,
		models:  make(map[string]*model),
		streams: make(map[string]*stream),
		cache:   newCache(c),
	}
	for name, version := range c.models {
		l.models[name] = &model{version: version, staged: map[string]bool{version: true}}
	}
	return l
}

// state is what the engine says of itself.
func (l *life) state(now time.Time, checksFence bool) engst.State {
	old := l.loadAt(now.Add(-l.config.loadLag))
	st := engst.State{
		Epoch:   l.epoch,
		Role:    l.role,
		Slots:   l.config.slots,
		Running: old.running,
		Waiting: old.waiting,
	}
	if checksFence {
		st.Fence = l.fence
	}
	names := make([]string, 0, len(l.models))
	for name := range l.models {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		m := l.models[name]
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
func (l *life) noteLoad(now time.Time) {
	l.loads = append(l.loads, load{at: now, running: len(l.running), waiting: len(l.waiting)})
	l.loadAt(now.Add(-l.config.loadLag))
}

// loadAt returns the load at a moment, and forgets what was before.
func (l *life) loadAt(at time.Time) load {
	var found load
	last := -1
	for i, ld := range l.loads {
		if ld.at.After(at) {
			break
		}
		found, last = ld, i
	}
	if last > 0 {
		l.loads = slices.Delete(l.loads, 0, last)
	}
	return found
}

// admit gives a stream a slot, or a place among those that wait. It returns
// false when there is neither.
func (l *life) admit(st *stream) bool {
	if len(l.running) >= l.config.slots && len(l.waiting) >= l.config.queue {
		return false
	}
	l.streams[st.req.ID] = st
	l.wait(st, false)
	if l.config.preempt {
		l.preempt(st)
	}
	l.fill()
	return true
}

// wait puts a stream behind those of its own priority, or before them if it has
// run already.
func (l *life) wait(st *stream, ran bool) {
	place := len(l.waiting)
	for i, other := range l.waiting {
		if other.req.Priority < st.req.Priority || ran && other.req.Priority == st.req.Priority {
			place = i
			break
		}
	}
	st.granted = make(chan struct{})
	l.waiting = slices.Insert(l.waiting, place, st)
}

// preempt takes the slot of the least important running stream if all slots are
// taken and st outranks it. That stream goes on later where it stopped.
func (l *life) preempt(st *stream) {
	if len(l.running) < l.config.slots {
		return
	}
	least := l.running[0]
	for _, other := range l.running[1:] {
		if other.req.Priority <= least.req.Priority {
			least = other
		}
	}
	if least.req.Priority < st.req.Priority {
		l.running = slices.DeleteFunc(l.running, func(o *stream) bool { return o == least })
		l.wait(least, true)
	}
}

// fill hands free slots to those that wait.
func (l *life) fill() {
	now := time.Now()
	for len(l.running) < l.config.slots && len(l.waiting) > 0 {
		st := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.running = append(l.running, st)
		st.last = now
		close(st.granted)
	}
	l.noteLoad(now)
}

// leave takes a stream out, wherever it stands.
func (l *life) leave(st *stream) {
	same := func(o *stream) bool { return o == st }
	l.running = slices.DeleteFunc(l.running, same)
	l.waiting = slices.DeleteFunc(l.waiting, same)
	if l.streams[st.req.ID] == st {
		delete(l.streams, st.req.ID)
	}
	l.fill()
}

// rate is how many tokens a second each running stream makes now.
func (l *life) rate(slowness float64) float64 {
	r := min(l.config.streamRate, l.config.totalRate/float64(max(1, len(l.running))))
	if slowness > 1 {
		r /= slowness
	}
	return r
}
