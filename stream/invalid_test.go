package stream

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/evbase"
	"github.com/lavendermux/lavendermux/sims/simevt"
	"github.com/lavendermux/lavendermux/upstr"
)

// readAll returns the IDs of the events of a stream, and the error that ended it.
func readAll(text string, opts ...Option) (ids []int64, err error) {
	r := New(strings.NewReader(text), simevt.VersionField, opts...)
	for {
		ev, err := r.Next()
		if err != nil {
			return ids, err
		}
		ids = append(ids, ev.ID)
	}
}

// known returns the bases of a service whose streams begin with an ID.
func known(first int64) Option {
	v := &evbase.Votes{}
	v.Voter("other").Add(first)
	return WithBases(v.Voter("this"))
}

// Guards against bytes of a broken engine that pass for an event: one whose ID is missing, no number
// or not due, at the start of a stream, in the middle or after a resumption, or that is wrong otherwise.
// The events before it are returned, and nothing behind it.
func TestWrongEvents(t *testing.T) {
	for _, last := range []int64{upstr.FromStart, 0, 4} {
		for _, sound := range []int64{0, 1, 3} {
			for _, wrong := range simevt.Wrong(last+1+sound, last == upstr.FromStart && sound == 0) {
				g := NewWithT(t)
				text, want := "", []int64(nil)
				for id := last + 1; id <= last+sound; id++ {
					text, want = text+simevt.Event(id, "x"), append(want, id)
				}
				text += wrong + simevt.Event(last+sound+1, "x")
				ids, err := readAll(text, After(last), known(0))
				g.Expect(ids).To(Equal(want), "%q", text)
				var invalid *InvalidError
				g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%q: %v", text, err)
			}
		}
	}
}

// Streams begin with event 0 or 1, and resumed ones with any. All ways to write an event are read.
func TestSoundEvents(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, first := range []int64{0, 1, 7, math.MaxInt64 - 2} {
		for range 100 {
			g := NewWithT(t)
			text := ""
			for n := range int64(3) {
				text += simevt.Vary(rng, first+n, "x")
			}
			opts := []Option{}
			if first > 1 {
				opts = append(opts, After(first-1))
			}
			ids, err := readAll(text, opts...)
			g.Expect(err).To(MatchError(io.EOF), "%q", text)
			g.Expect(ids).To(HaveLen(3), "%q", text)
		}
	}
}

// Guards against a first event of a broken engine that has an ID with which other services' streams
// begin. Until it is known which this service has, an event is returned only with the one after it.
func TestFirstEvent(t *testing.T) {
	stream := func(ids ...int64) (text string) {
		for _, id := range ids {
			text += simevt.Event(id, "x")
		}
		return text
	}
	for _, c := range []struct {
		text string
		end  error
		want []int64
	}{
		{stream(0, 1, 2), io.EOF, []int64{0, 1, 2}},
		{stream(1, 2, 3), io.EOF, []int64{1, 2, 3}},
		{stream(0), io.EOF, []int64{0}},
		{stream(1), io.EOF, []int64{1}},
		{stream(0) + "id: 1\n", errTruncated, nil},
		{stream(1, 0, 1, 2), nil, nil},
		{stream(0, 2), nil, nil},
		{stream(2, 3), nil, nil},
	} {
		g := NewWithT(t)
		ids, err := readAll(c.text, WithBases((&evbase.Votes{}).Voter("this")))
		g.Expect(ids).To(Equal(c.want), "%q", c.text)
		if c.end != nil {
			g.Expect(err).To(MatchError(c.end))
		}
	}
	for first := range int64(2) {
		g := NewWithT(t)
		ids, err := readAll(stream(first, first+1), known(first))
		g.Expect(err).To(MatchError(io.EOF))
		g.Expect(ids).To(Equal([]int64{first, first + 1}))
	}
	for _, wrong := range []string{stream(0, 1, 2), stream(0), stream(7), stream(7, 8)} {
		g := NewWithT(t)
		bases := &evbase.Votes{}
		for n := range 2 {
			bases.Voter(fmt.Sprint("other-", n)).Add(1)
		}
		ids, err := readAll(wrong, WithBases(bases.Voter("this")))
		var invalid *InvalidError
		g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%q: %v", wrong, err)
		g.Expect(ids).To(BeEmpty())
	}
}

// Streams of a service that counts from another number are read once two endpoints' begin with it, or
// several of the only one.
func TestUnusualFirstEvent(t *testing.T) {
	text := simevt.Event(5, "x") + simevt.Event(6, "x")
	for _, endpoints := range [][]string{{"a", "b", "c"}, {"a", "a", "a"}} {
		g := NewWithT(t)
		bases := &evbase.Votes{}
		var read []int
		for _, e := range endpoints {
			ids, _ := readAll(text, WithBases(bases.Voter(e)))
			read = append(read, len(ids))
		}
		g.Expect(read[0]).To(BeZero())
		g.Expect(read[2]).To(Equal(2))
	}
}

// Whatever an engine sends, the events of a stream have the IDs that are due, and each stands in what
// was sent.
func FuzzReader(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		a := simevt.Draw(rng, 0, 5, true, func(id int64) string { return fmt.Sprint("event ", id) })
		f.Add(strings.Join(a.Parts, ""), upstr.FromStart)
	}
	f.Fuzz(func(t *testing.T, text string, after int64) {
		r := New(strings.NewReader(text), simevt.VersionField, After(after))
		due, rest := max(after, -1)+1, text
		for n := 0; ; n++ {
			ev, err := r.Next()
			if err != nil {
				return
			}
			if n == 0 && after < 0 && ev.ID == 1 {
				due = 1
			}
			if ev.ID != due || ev.Version < 0 || !strings.Contains(string(ev.Raw), "id:") {
				t.Fatalf("event %d, due is %d: %q", ev.ID, due, ev.Raw)
			}
			due++
			_, behind, found := strings.Cut(rest, string(ev.Raw))
			if !found {
				t.Fatalf("event %q doesn't stand in %q", ev.Raw, rest)
			}
			rest = behind
		}
	})
}
