package brun

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/sims/simevt"
	"github.com/lavendermux/lavendermux/upstr"
)

const soundEvents = 12

// overrunEngines are engines of which the broken ones go on beyond the maximum of an item, with events
// that are valid.
type overrunEngines struct {
	// interval is the time between two events of a broken engine, data what they have.
	interval time.Duration
	data     string

	mu     sync.Mutex
	broken map[string]bool
	// open counts the answers that broken engines are sending, most is the most events that one of
	// them sent.
	open, most int
	sound      map[string]int
}

func soundText(id string) string {
	var lines []string
	for n := range soundEvents {
		lines = append(lines, fmt.Sprint(id, " ", n))
	}
	return strings.Join(lines, "\n")
}

// Send implements upstr.Sender.
func (e *overrunEngines) Send(ctx context.Context, c upstr.Call) (*upstr.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.broken[c.Endpoint.ID] {
		e.sound[c.Endpoint.ID]++
		return answer(ctx, c, strings.Split(soundText(c.ID), "\n")), nil
	}
	e.open++
	pr, pw := io.Pipe()
	go func() {
		n := 0
		for err := error(nil); err == nil; n++ {
			time.Sleep(e.interval)
			_, err = io.WriteString(pw, simevt.Event(c.LastEventID+1+int64(n), simevt.Foreign+e.data))
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.open--
		e.most = max(e.most, n)
	}()
	return &upstr.Response{Status: http.StatusOK, Body: pr, Version: 1}, nil
}

// Guards against an engine that sends valid events without an end in answer to an item: its text took
// the memory of the instance, and the item never ended. Half of the engines do so. Their runs must
// end, all items be complete without any of these events, also for an owner that takes over, and the
// engines be used again once they are sound.
func TestEnginesThatDontEnd(t *testing.T) {
	for name, c := range map[string]struct {
		interval        time.Duration
		data            string
		output, tokens  int
		most            int
		takeOverAt      time.Duration
		wantsStoredText bool
	}{
		"tokens known":        {0, "", 20, 100, 22, time.Second, false},
		"sum of tokens known": {0, "", 0, 100, 102, time.Second, false},
		"nothing known":       {0, strings.Repeat("x", 1000), 0, 0, maxTextBytes/1000 + 2, time.Second, false},
		"long events":         {0, strings.Repeat("x", 100<<10), 1 << 20, 0, 11, time.Second, false},
		"many long events":    {20 * time.Millisecond, strings.Repeat("x", 100<<10), 1 << 20, 0, 11, 2 * time.Second, false},
		"stored before":       {20 * time.Millisecond, "", 100, 0, 102, 6 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := &overrunEngines{interval: c.interval, data: c.data, broken: map[string]bool{"a": true, "b": true}, sound: make(map[string]int)}
				newOwner := func() (*Runner, *fakeStore) {
					r, store := newDrawnRunner(&drawnEngines{})
					r.sender = e
					WithTextMemory(2<<20, nil)(r)
					return r, store
				}
				sub := drawnBatch(drawnItems)
				for i := range sub.Items {
					sub.Items[i].MaxTokens, sub.Items[i].MaxOutputTokens = c.tokens, c.output
				}
				r, store := newOwner()
				ctx, cancel := context.WithCancel(t.Context())
				go r.Run(ctx)
				r.Add(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "me", Epoch: 1}, AcceptedAt: time.Now(), ConfirmedAt: time.Now()}, sub, nil, nil)
				for start := time.Now(); time.Since(start) < c.takeOverAt; time.Sleep(time.Millisecond) {
					r.mu.Lock()
					g.Expect(r.textUsed).To(BeNumerically("<=", r.textMemory))
					r.mu.Unlock()
				}
				e.mu.Lock()
				clear(e.broken)
				e.mu.Unlock()
				time.Sleep(3 * time.Second) // the runs at broken engines go on beyond the maximum
				e.mu.Lock()
				g.Expect(e.open).To(BeZero())
				g.Expect(e.most).To(BeNumerically("<=", c.most))
				e.mu.Unlock()
				stored := store.storedProgress(g)
				if c.wantsStoredText {
					g.Expect(stored).To(ContainElement(HaveField("Texts", ContainElement(ContainSubstring(simevt.Foreign)))), "no such text was stored before its run ended")
				}
				r.Drop("b", "taken over")
				cancel()
				synctest.Wait()

				r, _ = newOwner()
				ctx, cancel = context.WithCancel(t.Context())
				go r.Run(ctx)
				r.Add(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "you", Epoch: 2}, AcceptedAt: time.Now(), ConfirmedAt: time.Now()}, sub, nil, stored)
				results := r.readAll(ctx, g, drawnItems, time.Minute)
				g.Expect(results).To(HaveLen(drawnItems))
				for _, res := range results {
					g.Expect(res.Text).To(Equal(soundText(res.ID)))
				}
				// The items may all have ended elsewhere before the engines were sound: there is more work.
				for n := range 3 {
					more := drawnBatch(drawnItems)
					more.ID = fmt.Sprint("more", n)
					r.Add(ctx, bstore.Record{ID: more.ID, Head: batch.Head{Owner: "you", Epoch: 1}, AcceptedAt: time.Now(), ConfirmedAt: time.Now()}, more, nil, nil)
					time.Sleep(2 * time.Second)
				}
				e.mu.Lock()
				g.Expect(e.sound).To(And(HaveKey("a"), HaveKey("b")))
				e.mu.Unlock()
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a limit that cuts sound items: one with exactly its maximum of events is complete, and
// so is a text of nearly a page of results, while the texts of many others take their memory.
func TestItemsAtTheirMaximum(t *testing.T) {
	for _, line := range []string{"x", strings.Repeat("x", 60<<10), strings.Repeat("\x01", 10<<10)} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r, _ := newDrawnRunner(&drawnEngines{})
			WithTextMemory(2<<20, nil)(r)
			sub, texts := drawnBatch(drawnItems), make(map[string]string)
			for i, it := range sub.Items {
				sub.Items[i].MaxOutputTokens = 14
				texts[it.ID] = strings.TrimSuffix(strings.Repeat(line+"\n", 14), "\n")
			}
			r.sender = longTexts{items: texts}
			ctx, cancel := context.WithCancel(t.Context())
			go r.Run(ctx)
			r.Add(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "me", Epoch: 1}, AcceptedAt: time.Now(), ConfirmedAt: time.Now()}, sub, nil, nil)
			results := r.readAll(ctx, g, drawnItems, time.Minute)
			g.Expect(results).To(HaveLen(drawnItems))
			for _, res := range results {
				g.Expect(res.Text == texts[res.ID]).To(BeTrue())
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against foreign text that stays in an item: a run that is about to move to another engine goes on
// beyond the maximum before its connection is closed.
func TestOverrunOfARunThatMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, _ := newDrawnRunner(&drawnEngines{})
		e := &overrunEngines{interval: 20 * time.Millisecond, broken: map[string]bool{"a": true, "b": true, "c": true, "d": true}, sound: make(map[string]int)}
		r.sender = lateCancel{e}
		sub := drawnBatch(1)
		sub.Items[0].MaxOutputTokens = 50
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		r.Add(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "me", Epoch: 1}, AcceptedAt: time.Now(), ConfirmedAt: time.Now()}, sub, nil, nil)
		time.Sleep(49*20*time.Millisecond + 5*time.Millisecond)
		e.mu.Lock()
		clear(e.broken)
		e.mu.Unlock()
		r.mu.Lock()
		r.tracked["b"].items[0].cancel(errMigrated)
		r.mu.Unlock()
		results := r.readAll(ctx, g, 1, time.Minute)
		g.Expect(results).To(HaveLen(1))
		g.Expect(results[0].Text).To(Equal(soundText("item0")))
		cancel()
		synctest.Wait()
	})
}

// lateCancel sends calls whose answers go on when they are cancelled.
type lateCancel struct{ upstr.Sender }

// Send implements upstr.Sender.
func (s lateCancel) Send(ctx context.Context, c upstr.Call) (*upstr.Response, error) {
	return s.Sender.Send(context.WithoutCancel(ctx), c)
}
