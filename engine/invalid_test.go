package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/sims/simevt"
)

// Guards against bytes of a broken engine that pass for tokens: events with fields that are missing,
// doubled, of another type or at odds with each other. The tokens before them are passed on, and
// nothing behind them.
func TestWrongTokens(t *testing.T) {
	answer := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, answer) // the client may have gone
	}))
	defer srv.Close()
	for _, wrong := range simevt.WrongTokens() {
		for _, sound := range []int{0, 2} {
			g := NewWithT(t)
			answer = strings.Repeat(simevt.Token("x"), sound) + wrong + simevt.Token("x") + fmt.Sprintf("data: {\"done\":true,\"total\":%d}\n\n", sound+1)
			text := ""
			err := New(srv.URL).Generate(t.Context(), genreq.Request{}, func(ev genev.Event) error {
				text += ev.Text
				return nil
			})
			var unavailable *fault.UnavailableError
			g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%q: %v", wrong, err)
			g.Expect(text).To(Equal(strings.Repeat("x", sound)), "%q", wrong)
		}
	}
}

// Whatever an engine sends, an event has a positive number of tokens or is the end event without any.
func FuzzEvent(f *testing.F) {
	for _, wrong := range simevt.WrongTokens() {
		f.Add([]byte(strings.TrimPrefix(strings.TrimSpace(wrong), "data:")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ev, err := decodeEvent(data)
		if err == nil && (ev.Tokens < 0 || ev.TotalTokens < 0 || ev.Done != (ev.Tokens == 0) || (ev.Done && ev.Text != "")) {
			t.Fatalf("%q: %+v", data, ev)
		}
	})
}
