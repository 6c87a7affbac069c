// Package attrib decides which weight version made a token.
//
// An engine's life is cut into intervals by its weight switches: an interval is
// steady (one confirmed version), changing (an order is on its way) or in doubt
// (the order's outcome is unknown). A token is noted with the interval in which
// the door read it. What the engine itself says about a token counts only if it
// agrees with a version that was confirmed around that interval; a token made
// while a switch went wrong stays without a version, and the sample that holds
// it is made anew. A sample that named the wrong version would teach the
// trainer from the wrong probabilities, and nothing later could show it.
package attrib

import "sync"

const (
	steady phase = iota
	changing
	doubt
)

type (
	// Tracker follows the versions of all models of one engine. The zero
	// Tracker knows nothing and is ready.
	Tracker struct {
		mu     sync.Mutex
		models map[string]*history
	}

	phase int

	// history is one model's life.
	history struct {
		// spans is never empty; the last is the present one.
		spans []span
		// base is the number of spans[0]; older ones have been dropped.
		base int64
	}

	span struct {
		phase phase
		// version is confirmed; empty unless the phase is steady.
		version string
	}
)

// keepSpans is how many past intervals are remembered. A token is read within
// seconds of being made and versions change every few minutes, so a handful is
// plenty; a token from before that has no version.
const keepSpans = 16

// Confirm notes that the engine itself named version as the one in use, "" for
// none. It starts a new interval only when that is news.
func (t *Tracker) Confirm(model, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(model)
	last := h.spans[len(h.spans)-1]
	next := span{phase: steady, version: version}
	if version == "" {
		next.phase = doubt
	}
	if last != next {
		h.add(next)
	}
}

// Begin notes that an order to switch is about to be sent.
func (t *Tracker) Begin(model string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history(model).add(span{phase: changing})
}

// Doubt notes that nothing is known any more about any model, as when the
// engine gave no answer.
func (t *Tracker) Doubt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.models {
		if h.spans[len(h.spans)-1].phase != doubt {
			h.add(span{phase: doubt})
		}
	}
}

// Version returns the confirmed version in use, or "".
func (t *Tracker) Version(model string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(model)
	return h.spans[len(h.spans)-1].version
}

// Mark returns the number of the present interval of model.
func (t *Tracker) Mark(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history(model).last()
}

// Resolve returns the version of a token that was read in interval read of a
// stream that began in interval start, where word is what the engine said about
// it, "" if it does not say. It returns false as long as that interval's switch
// is still on its way: the caller asks again.
func (t *Tracker) Resolve(model string, start, read int64, word string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(model)
	at, found := h.at(read)
	if !found || at.phase == doubt {
		return "", true
	}
	if at.phase == changing {
		return h.duringChange(read, word)
	}
	if word == "" {
		return h.silent(start, read), true
	}
	// The token may have been made just before the switch that ended the
	// previous interval and read after it.
	if word == at.version || word == h.steadyBefore(read) {
		return word, true
	}
	return "", true
}

func (t *Tracker) history(model string) *history {
	if t.models == nil {
		t.models = map[string]*history{}
	}
	h := t.models[model]
	if h == nil {
		h = &history{spans: []span{{phase: doubt}}}
		t.models[model] = h
	}
	return h
}

func (h *history) add(s span) {
	h.spans = append(h.spans, s)
	if extra := len(h.spans) - keepSpans; extra > 0 {
		h.spans = h.spans[extra:]
		h.base += int64(extra)
	}
}

func (h *history) last() int64 {
	return h.base + int64(len(h.spans)) - 1
}

func (h *history) at(i int64) (span, bool) {
	if i < h.base || i > h.last() {
		return span{}, false
	}
	return h.spans[i-h.base], true
}

// silent handles an engine that says nothing about its tokens. A token that was
// read in the interval in which its stream began was made in it; a later one
// may have been made in any interval since.
func (h *history) silent(start, read int64) string {
	if start != read {
		return ""
	}
	at, _ := h.at(read)
	return at.version
}

// duringChange trusts the engine's word only when the switch ended well, and
// only if it names the version before or after: a switch that stopped halfway
// leaves weights that belong to no version, whatever the engine calls them.
func (h *history) duringChange(read int64, word string) (string, bool) {
	after, found := h.at(read + 1)
	if !found {
		return "", false
	}
	if after.phase != steady || word == "" {
		return "", true
	}
	if word == after.version || word == h.steadyBefore(read) {
		return word, true
	}
	return "", true
}

// steadyBefore returns the version that was confirmed before interval i, if no
// interval in doubt lies between.
func (h *history) steadyBefore(i int64) string {
	for i--; ; i-- {
		at, found := h.at(i)
		if !found || at.phase == doubt {
			return ""
		}
		if at.phase == steady {
			return at.version
		}
	}
}
