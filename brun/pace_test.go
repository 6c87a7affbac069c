package brun

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/manif"
)

// A run takes seconds. Its engine must be chosen by the pace of the last seconds: not an engine
// for its last ten events, which were fast, nor one that has become slow, and an engine that
// was slow for a moment before it became idle must not stay idle. Moves go by the last events.
func TestNewRunsGoByTheLastingPace(t *testing.T) {
	const usual = 40 * time.Millisecond
	for name, c := range map[string]struct {
		// interval is that of the events of engine a in the time last, after ten seconds of
		// usual ones and before it is idle. other is the interval of engine b all the time.
		interval, last, idle, other time.Duration
		// newRun and move are the engines that are chosen for either.
		newRun, move string
	}{
		"fast moment":     {interval: 10 * time.Millisecond, last: 100 * time.Millisecond, other: 30 * time.Millisecond, newRun: "b", move: "a"},
		"slow spell":      {interval: 120 * time.Millisecond, last: 2 * time.Second, other: 55 * time.Millisecond, newRun: "b", move: "b"},
		"slow spell over": {interval: 120 * time.Millisecond, last: 2 * time.Second, idle: 5 * time.Second, other: 100 * time.Millisecond, newRun: "a", move: "b"},
		"usual":           {interval: usual, last: time.Second, other: 55 * time.Millisecond, newRun: "a", move: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			g, set, now := NewWithT(t), epset.New(func() {}), time.Now()
			engine := func(id string) endpt.Endpoint {
				return endpt.Endpoint{ID: id, Service: "lm", Slots: 8, Versions: map[string]int64{"m": 1}}
			}
			set.Put(engine("a"))
			set.Put(engine("b"))
			observe := func(a, b, during time.Duration) {
				nextA, nextB := now.Add(a), now.Add(b)
				for end := now.Add(during); !nextA.After(end) || !nextB.After(end); {
					if nextA.Before(nextB) {
						set.ObserveEvent(engine("a"), a, nextA)
						nextA = nextA.Add(a)
					} else {
						set.ObserveEvent(engine("b"), b, nextB)
						nextB = nextB.Add(b)
					}
				}
				now = now.Add(during)
			}
			observe(usual, c.other, 10*time.Second)
			observe(c.interval, c.other, c.last)
			now = now.Add(c.idle)
			set.JudgeSpeeds(now)
			r := New(bstore.New(&fakeStore{}), set, blockedSender{}, nil, func() *manif.Manifest { return nil }, logs.New(io.Discard))
			chosen := func(interval func(epset.View) float64) string {
				choices := r.newChoices("lm", &batch.Submission{Model: "m"}, now, func(epset.View) bool { return true }, nil, interval)
				i, ok := choices.lineup.Take()
				g.Expect(ok).To(BeTrue())
				return choices.suitable[choices.preferred[i]].ID
			}
			g.Expect(chosen(newRunInterval)).To(Equal(c.newRun), "for a new run")
			g.Expect(chosen(eventInterval)).To(Equal(c.move), "for a run that moves")
		})
	}
}
