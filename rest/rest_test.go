package rest

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
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
