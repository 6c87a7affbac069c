package eproxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/engine"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/sims/simevt"
	"github.com/lavendermux/lavendermux/wire"
)

// endlessEngine is an engine that sends tokens without an end, each with the text of its length.
type endlessEngine struct {
	fakeEngine
	interval time.Duration
	length   int
	version  string
	sent     int
}

func (e *endlessEngine) Generate(ctx context.Context, _ genreq.Request, onToken func(genev.Event) error) error {
	for ; ctx.Err() == nil; e.sent++ {
		time.Sleep(e.interval)
		if err := onToken(genev.Event{Text: strings.Repeat("x", e.length), Tokens: 1, Version: e.version}); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// drawnEngine is an engine whose answer is read by the real client.
type drawnEngine struct {
	fakeEngine
	parts []string
}

func (e *drawnEngine) Generate(ctx context.Context, req genreq.Request, onToken func(genev.Event) error) error {
	return engine.New("http://engine", engine.WithHTTP(&http.Client{Transport: e})).Generate(ctx, req, onToken)
}

// RoundTrip implements http.RoundTripper.
func (e *drawnEngine) RoundTrip(*http.Request) (*http.Response, error) {
	pr, pw := io.Pipe()
	go func() {
		for _, p := range e.parts {
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(pw, p); err != nil {
				return // the client has closed the body
			}
		}
		_ = pw.Close() // has no effect if the reader is gone
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: pr}, nil
}

func runEndless(ctx context.Context, p *Proxy, maxTokens int64) (tokens int64, err error) {
	err = p.Run(ctx, &wire.RunRequest{RequestId: "r", Model: modelName, Kind: wire.WorkKind_WORK_KIND_ROLLOUT, MaxTokens: maxTokens}, func(ev *wire.RunEvent) error {
		tokens += ev.GetSegment().GetTokens()
		return nil
	})
	return tokens, err
}

// Guards against an engine that goes on beyond the maximum of a request, with tokens that are valid: its
// tokens took the memory of the sidecar, and it kept its slot. The run must end at the maximum, with an
// outcome that nobody continues, and the memory be free again.
func TestEngineBeyondTheMaximum(t *testing.T) {
	for name, c := range map[string]struct {
		length      int
		interval    time.Duration
		version     string
		maxTokens   int64
		most        int
		wantsTokens int64
	}{
		"tokens":                {1, time.Millisecond, "1", 50, 50, 50},
		"long tokens":           {100 << 10, time.Millisecond, "1", 500, 5, 5},
		"no maximum":            {100 << 10, time.Millisecond, "1", 0, maxOutputBytes / (100 << 10), maxOutputBytes / (100 << 10)},
		"withheld, no versions": {100 << 10, time.Millisecond, "", 1 << 20, 10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := &endlessEngine{interval: c.interval, length: c.length, version: c.version}
				e.setState(2, "1")
				memory := int64(defaultTextMemory)
				if c.version == "" {
					memory = 1 << 20
				}
				p := New(e, openLimiter{}, WithTextMemory(memory))
				p.Refresh(t.Context())
				tokens, err := runEndless(t.Context(), p, c.maxTokens)
				g.Expect(causeOf(err)).To(Equal("unknown " + CauseOutputLimit))
				g.Expect(tokens).To(Equal(c.wantsTokens))
				g.Expect(e.sent).To(BeNumerically("<=", c.most))
				g.Expect(e.cancelled).To(Equal([]string{"r"}), "the slot is free")
				g.Expect(p.texts.Reserve(memory)).To(BeTrue(), "the memory is free")
			})
		})
	}
}

// Guards against a limit that cuts sound outputs: one of exactly its maximum is complete, with the
// tokens of an earlier run.
func TestOutputAtItsMaximum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, e := newProxy(t.Context())
		done, tokens := make(chan error, 1), int64(0)
		go func() {
			done <- p.Run(t.Context(), &wire.RunRequest{RequestId: "r", Model: modelName, MaxTokens: 5, Prior: []*wire.Segment{{Text: "ab", Tokens: 2}}}, func(ev *wire.RunEvent) error {
				tokens = max(tokens, ev.GetEnd().GetTokens())
				return nil
			})
		}()
		synctest.Wait()
		e.emit("cde", "1")
		e.finish(5)
		g.Expect(<-done).To(Succeed())
		g.Expect(tokens).To(Equal(int64(5)))
	})
}

// Guards against bytes of a broken engine in an output: events that aren't valid, at any place of a
// stream that then breaks off, goes on or ends. What is passed on is what was sound before them.
func TestInvalidTokens(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 3))
			wrong := simevt.WrongTokens()
			sound := rng.IntN(5)
			parts := make([]string, 0, sound+4)
			for range sound {
				parts = append(parts, simevt.Token("x"))
			}
			parts = append(parts, wrong[rng.IntN(len(wrong))])
			if rng.IntN(2) == 0 {
				parts = append(parts, simevt.Token(simevt.Foreign), "data: {\"done\":true,\"total\":"+string(rune('0'+sound))+"}\n\n")
			}
			e := &drawnEngine{parts: parts}
			e.setState(2, "1")
			p := New(e, openLimiter{})
			p.Refresh(t.Context())
			text := ""
			err := p.Run(t.Context(), &wire.RunRequest{RequestId: "r", Model: modelName, Kind: wire.WorkKind_WORK_KIND_LIVE}, func(ev *wire.RunEvent) error {
				text += ev.GetSegment().GetText()
				g.Expect(ev.GetEnd()).To(BeNil())
				return nil
			})
			g.Expect(causeOf(err)).To(Equal("unknown " + CauseConnectionLost))
			g.Expect(text).To(Equal(strings.Repeat("x", sound)))
			g.Expect(e.cancelled).To(HaveLen(1))
			time.Sleep(time.Second) // the engine has noticed
		})
	}
}
