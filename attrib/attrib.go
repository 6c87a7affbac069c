// Package attrib attributes tokens to the weight version that generated them.
//
// Weight switches divide the time of an engine into intervals. An interval is steady
// (one confirmed version), switching (a switch command is in progress) or unknown (the
// outcome of the command is unknown). The sidecar records for each token the interval in
// which it was read. The version that the engine reports for a token is accepted only if
// it matches a version confirmed around that interval. A token generated during a failed
// switch gets no version, and its sample is generated again. A sample attributed to the
// wrong version would train on wrong probabilities, which nothing could detect later.
package attrib

import "sync"

const (
	steady phase = iota
	switching
	unknown
)

type (
	// Tracker tracks the versions of all models of one engine. The zero Tracker is
	// ready to use; all its versions are unknown.
	Tracker struct {
		mu     sync.Mutex
		models map[string]*history
	}

	phase int

	// history holds the recent intervals of one model.
	history struct {
		// intervals is never empty; the last one is current.
		intervals []interval
		// first is the number of the first retained interval.
		first int64
	}

	interval struct {
		phase phase
		// version is the confirmed version; empty unless the phase is steady.
		version string
	}
)

// maxIntervals is the number of intervals retained per model. A token is read within
// seconds after it was generated, and versions change every few minutes. A token of an
// older interval gets no version.
const maxIntervals = 16

// Confirm records that the engine reported version as the one in use, "" for none. It
// starts a new interval only if this differs from the current state.
func (t *Tracker) Confirm(model, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(model)
	last := h.intervals[len(h.intervals)-1]
	next := interval{phase: steady, version: version}
	if version == "" {
		next.phase = unknown
	}
	if last != next {
		h.add(next)
	}
}

// BeginSwitch records that a switch command is about to be sent.
func (t *Tracker) BeginSwitch(model string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history(model).add(interval{phase: switching})
}

// Invalidate marks the versions of all models as unknown, for example after the engine did
// not respond.
func (t *Tracker) Invalidate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.models {
		if h.intervals[len(h.intervals)-1].phase != unknown {
			h.add(interval{phase: unknown})
		}
	}
}

// Version returns the confirmed version of model in use, or "" if unknown.
func (t *Tracker) Version(model string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(model)
	return h.intervals[len(h.intervals)-1].version
}

// Interval returns the number of the current interval of model.
func (t *Tracker) Interval(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history(model).current()
}

// Resolve returns the version of a token that was read in interval read of a stream that
// began in interval start, or "" if it cannot be attributed. Reported is the version that
// the engine reported for the token, "" for none. Resolve returns false while the switch of
// that interval is in progress; the caller must retry.
func (t *Tracker) Resolve(model string, start, read int64, reported string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(model)
	at, found := h.at(read)
	if !found || at.phase == unknown {
		return "", true
	}
	if at.phase == switching {
		return h.resolveSwitching(read, reported)
	}
	if reported == "" {
		return h.resolveUnreported(start, read), true
	}
	// The token may have been generated just before the switch that ended the previous
	// interval, and read after it.
	if reported == at.version || reported == h.confirmedBefore(read) {
		return reported, true
	}
	return "", true
}

func (t *Tracker) history(model string) *history {
	if t.models == nil {
		t.models = map[string]*history{}
	}
	h := t.models[model]
	if h == nil {
		h = &history{intervals: []interval{{phase: unknown}}}
		t.models[model] = h
	}
	return h
}

func (h *history) add(iv interval) {
	h.intervals = append(h.intervals, iv)
	if extra := len(h.intervals) - maxIntervals; extra > 0 {
		h.intervals = h.intervals[extra:]
		h.first += int64(extra)
	}
}

func (h *history) current() int64 {
	return h.first + int64(len(h.intervals)) - 1
}

func (h *history) at(i int64) (interval, bool) {
	if i < h.first || i > h.current() {
		return interval{}, false
	}
	return h.intervals[i-h.first], true
}

// resolveUnreported handles an engine that does not report versions. A token read in the
// interval in which its stream began was generated in that interval; a later one may have
// been generated in any interval since.
func (h *history) resolveUnreported(start, read int64) string {
	if start != read {
		return ""
	}
	at, _ := h.at(read)
	return at.version
}

// resolveSwitching accepts the reported version only if the switch succeeded and the version
// is the one before or after it. An incomplete switch leaves weights that belong to no
// version, whatever the engine reports.
func (h *history) resolveSwitching(read int64, reported string) (string, bool) {
	after, found := h.at(read + 1)
	if !found {
		return "", false
	}
	if after.phase != steady || reported == "" {
		return "", true
	}
	if reported == after.version || reported == h.confirmedBefore(read) {
		return reported, true
	}
	return "", true
}

// confirmedBefore returns the last version confirmed before interval i, or "" if an unknown
// interval lies between.
func (h *history) confirmedBefore(i int64) string {
	for i--; ; i-- {
		at, found := h.at(i)
		if !found || at.phase == unknown {
			return ""
		}
		if at.phase == steady {
			return at.version
		}
	}
}
