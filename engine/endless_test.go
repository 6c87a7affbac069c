package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
)

// Guards against an engine that sends bytes without an end in place of events or of its state: the
// client must give up after few of them, and close the connection.
func TestEngineSendsWithoutEnd(t *testing.T) {
	for _, fill := range []string{": fill\n", "\n", "data: fill", `"fill`} {
		g := NewWithT(t)
		var sent atomic.Int64
		closed := make(chan struct{}, 2)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				n, err := io.WriteString(w, fill)
				if sent.Add(int64(n)); err != nil {
					closed <- struct{}{}
					return
				}
			}
		}))
		c := New(srv.URL)
		err := c.Generate(t.Context(), genreq.Request{}, func(genev.Event) error { return nil })
		var unavailable *fault.UnavailableError
		g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%q: %v", fill, err)
		g.Eventually(closed, 5*time.Second).Should(Receive())
		_, err = c.State(t.Context())
		g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%q: %v", fill, err)
		g.Eventually(closed, 5*time.Second).Should(Receive())
		g.Expect(sent.Load()).To(BeNumerically("<", 32<<20))
		srv.Close()
	}
}
