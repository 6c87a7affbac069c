package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/sims/simevt"
	"github.com/lavendermux/lavendermux/upstr"
)

const drawnEvents = 8

type (
	// drawnEngines are engines of which the broken ones answer by a grammar of wrong answers. The
	// streams of the others begin with the event base.
	drawnEngines struct {
		base   int64
		broken map[string]bool

		mu  sync.Mutex
		rng *rand.Rand
		// runs counts how often each request has run.
		runs map[string]int
	}

	// textSink keeps what a caller gets.
	textSink struct {
		strings.Builder
	}
)

// WriteHeader implements Sink.
func (*textSink) WriteHeader(int, http.Header) {}

// Write implements Sink.
func (s *textSink) Write(p []byte) error {
	_, err := s.Builder.Write(p)
	return err
}

// events returns the IDs of the events that a caller got, each of which must be the sound one.
func (s *textSink) events(g *WithT, id string) (ids []int64) {
	for block := range strings.SplitSeq(strings.ReplaceAll(s.String(), "\r\n", "\n"), "\n\n") {
		var n int64 = -1
		data := ""
		for line := range strings.SplitSeq(block, "\n") {
			if text, ok := strings.CutPrefix(line, "id:"); ok {
				_, err := fmt.Sscan(text, &n)
				g.Expect(err).NotTo(HaveOccurred())
			}
			if text, ok := strings.CutPrefix(line, "data: "); ok {
				data = text
			}
		}
		if n >= 0 || data != "" {
			g.Expect(data).To(Equal(fmt.Sprint(id, "-", n)))
			ids = append(ids, n)
		}
	}
	return ids
}

// Send implements upstr.Sender.
func (e *drawnEngines) Send(ctx context.Context, c upstr.Call) (*upstr.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[c.ID]++
	isStart := c.LastEventID == upstr.FromStart
	from, last := c.LastEventID+1, e.base+drawnEvents-1
	if isStart {
		from = e.base
	}
	data := func(n int64) string { return fmt.Sprint(c.ID, "-", n) }
	a := simevt.Answer{End: simevt.Close}
	if e.broken[c.Endpoint.ID] && from <= last {
		a = simevt.Draw(e.rng, from, last, isStart, data)
	} else {
		for n := from; n <= last; n++ {
			a.Parts = append(a.Parts, simevt.Vary(e.rng, n, data(n)))
		}
	}
	pr, pw := io.Pipe()
	go func() {
		for _, p := range a.Parts {
			if _, err := io.WriteString(pw, p); err != nil {
				return // the reader is gone
			}
			time.Sleep(20 * time.Millisecond)
		}
		for n := 0; a.End == simevt.Endless && ctx.Err() == nil; n++ {
			if _, err := io.WriteString(pw, a.Fill(n)); err != nil {
				return // see above
			}
			time.Sleep(20 * time.Millisecond)
		}
		var err error
		if a.End == simevt.Break {
			err = io.ErrUnexpectedEOF
		}
		_ = pw.CloseWithError(err) // has no effect if the reader is gone
	}()
	return &upstr.Response{Status: http.StatusOK, Body: pr}, nil
}

// Guards against bytes of broken engines in a caller's stream: events that aren't valid, at any place of
// an answer that then breaks off, ends, goes on or doesn't end. The caller gets the sound events before
// them, and all others from another engine if the stream may be resumed; otherwise the answer must not
// look complete, and the request must not run again. Each event comes once.
func TestStreamsOfBrokenEngines(t *testing.T) {
	for seed := range uint64(100) {
		for _, resumable := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := &drawnEngines{base: int64(seed % 2), rng: rand.New(rand.NewPCG(seed, 9)), broken: map[string]bool{"a": true, "b": true}, runs: make(map[string]int)}
				set := epset.New(func() {})
				for _, id := range []string{"a", "b", "c", "d"} {
					set.Put(endpt.Endpoint{ID: id, Service: "lm", Slots: 20})
				}
				f := New(set, e, "", logs.New(io.Discard), meter.New())
				route := &manif.Route{Name: "r", Kind: manif.Stream, Resumable: resumable, MaxAttempts: 3, Timeout: 10 * time.Second,
					Split: []manif.WeightedService{{Service: "lm", Weight: 1}}}
				var complete atomic.Int32
				var calls sync.WaitGroup
				for n := range 20 {
					calls.Go(func() {
						id, sink := fmt.Sprint("r", n), &textSink{}
						after, due := upstr.FromStart, e.base
						if n%3 == 0 {
							after, due = e.base+2, e.base+3
						}
						_, err := f.Stream(t.Context(), Request{ID: id, Route: route}, simevt.VersionField, after, sink)
						for _, got := range sink.events(g, id) {
							g.Expect(got).To(Equal(due), "seed %d: %q", seed, sink.String())
							due++
						}
						if err == nil {
							g.Expect(due).To(Equal(e.base+drawnEvents), "seed %d: %q", seed, sink.String())
							complete.Add(1)
						}
					})
					time.Sleep(time.Duration(seed) * time.Millisecond)
				}
				calls.Wait()
				g.Expect(e.runs).To(HaveLen(20))
				for id, n := range e.runs {
					g.Expect(resumable || n == 1).To(BeTrue(), "%s ran %d times", id, n)
				}
				if resumable {
					g.Expect(complete.Load()).To(BeEquivalentTo(20), "seed %d", seed)
				}
				time.Sleep(time.Minute) // the detector of crashes has finished
				synctest.Wait()
			})
		}
	}
}
