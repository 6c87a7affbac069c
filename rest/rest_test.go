package rest

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/h1resp"
)

// A service answers a request with a redirect. Followed, an order could go to another engine, or
// become a GET whose answer passes for that of the order.
func TestRedirectIsAnError(t *testing.T) {
	g := NewWithT(t)
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		if r.URL.Path == "/order" {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
			return
		}
		_, _ = io.WriteString(w, `{}`) // the client stays
	}))
	defer srv.Close()
	err := New("engine", srv.URL).Do(context.Background(), http.MethodPost, "/order", map[string]int{"version": 2}, nil)
	var status *StatusError
	g.Expect(errors.As(err, &status)).To(BeTrue())
	g.Expect(status.Status).To(Equal(http.StatusTemporaryRedirect))
	g.Expect(requests).To(Equal(1))
}

// Guards against a service whose answer ends in bytes that are no part of one: what came before was taken for its
// answer, or the request for one that succeeded.
func TestInvalidEndOfAnAnswer(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: v\r\n\r\n") // the client may have closed it
	}))
	defer srv.Close()
	c := New("engine", srv.URL, WithHTTP(conns.NewClient(conns.New())))
	for _, out := range []any{nil, new(map[string]int)} {
		err := c.Do(context.Background(), http.MethodPost, "/order", nil, out)
		var unavailable *fault.UnavailableError
		g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%v", err)
		var invalid *h1resp.Error
		g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
	}
}
