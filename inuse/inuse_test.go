package inuse

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// serve runs a server whose connections are those of this package, and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(Handler(h))
	srv.Config.ConnContext = Context
	srv.Listener = New(srv.Listener)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.URL
}

func get(t *testing.T, url string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// A stopping server takes a connection for idle while the head of a request on it is being
// read, and closes it as the request is passed on. A creditor's status request has then run
// and is never answered. The caller must get its whole answer.
func TestClosedWhileHandled(t *testing.T) {
	g := NewWithT(t)
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(net.Conn)
		g.Expect(c.Close()).To(Succeed()) // as the server does with one that it takes for idle
		_, _ = io.WriteString(w, "whole answer")
	}))
	body, err := get(t, url)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("whole answer"))
}

// The connection is closed before the request on it is handled. It must not be passed on:
// its caller takes the close for a promise that it wasn't, and sends it again.
func TestClosedBefore(t *testing.T) {
	g := NewWithT(t)
	var handled atomic.Bool
	c := &conn{}
	near, far := net.Pipe()
	t.Cleanup(func() { g.Expect(far.Close()).To(Succeed()) })
	c.Conn = near
	g.Expect(c.Close()).To(Succeed())
	h := Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Store(true) }))
	r := httptest.NewRequestWithContext(Context(context.Background(), c), http.MethodGet, "/", nil)
	g.Expect(func() { h.ServeHTTP(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler))
	g.Expect(handled.Load()).To(BeFalse())
}

// When a request has been handled its connection can be closed like any other.
func TestClosedAfter(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	c := &conn{Conn: near}
	g.Expect(c.begin()).To(BeTrue())
	c.end()
	g.Expect(c.Close()).To(Succeed())
	_, err := far.Write([]byte("x"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(c.begin()).To(BeFalse())
}

// A request is refused before its long body was read. Its caller must see why, and not a
// reset.
func TestRefusedBeforeItWasRead(t *testing.T) {
	g := NewWithT(t)
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// On loopback the answer may win the race by itself; the server must be able to
		// end it without a reset.
		_, ok := r.Context().Value(connKey{}).(interface{ CloseWrite() error })
		g.Expect(ok).To(BeTrue())
		w.WriteHeader(http.StatusUnauthorized)
	}))
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, 8<<20)))
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		_ = resp.Body.Close()
	}
}
