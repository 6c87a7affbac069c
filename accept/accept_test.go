package accept

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/bound"
)

const waitTimeout = 10 * time.Second

// server is a server within the limits of a limiter.
type server struct {
	addr     string
	limiter  *Limiter
	requests *bound.Pool
	http     *http.Server
}

func serve(t *testing.T, connections int, requestMemory int64, h http.HandlerFunc, opts ...Option) *server {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: l.Addr().String(), requests: bound.New(requestMemory)}
	s.limiter = New(connections, s.requests, opts...)
	s.http = &http.Server{Handler: s.limiter.Handler(h), ConnContext: s.limiter.WithConn, ConnState: s.limiter.ConnState, ReadHeaderTimeout: waitTimeout}
	go func() { _ = s.http.Serve(s.limiter.Listener(l)) }() // returns when it is closed
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

func (s *server) dial(t *testing.T, sent string) net.Conn {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(c, sent) // the server may refuse it
	return c
}

func (s *server) get(ctx context.Context, client *http.Client, body io.Reader) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr+"/", body)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func ok(_ http.ResponseWriter, _ *http.Request) {}

func isClosed(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return err != nil
}

// Connections on which nothing is sent take all places: the oldest makes room for an ordinary client.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 3, 1<<20, ok)
	var silent []net.Conn
	for i := range 3 {
		silent = append(silent, s.dial(t, ""))
		g.Eventually(s.limiter.Connections().Used, waitTimeout).Should(BeEquivalentTo(i + 1))
	}
	client := &http.Client{Transport: &http.Transport{}}
	g.Expect(s.get(t.Context(), client, nil)).To(Equal(http.StatusOK))
	g.Expect(isClosed(silent[0])).To(BeTrue())
	g.Expect(s.limiter.Connections().Evictions()).To(BeEquivalentTo(1))
}

// Clients that connect without end close the idle connections of ordinary clients last.
func TestIdleConnectionsOutliveSilentOnes(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 3, 1<<20, ok)
	client := &http.Client{Transport: &http.Transport{}}
	g.Expect(s.get(t.Context(), client, nil)).To(Equal(http.StatusOK))
	for range 20 {
		s.dial(t, "")
	}
	g.Eventually(s.limiter.Connections().Evictions, waitTimeout).Should(BeEquivalentTo(18))
	reused := false
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	g.Expect(s.get(ctx, client, nil)).To(Equal(http.StatusOK))
	g.Expect(reused).To(BeTrue())
}

// A request that is being handled keeps its connection, whatever others open.
func TestRequestsInProgressAreNotCutOff(t *testing.T) {
	g := NewWithT(t)
	begun, release := make(chan struct{}), make(chan struct{})
	s := serve(t, 1, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	c := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-begun
	for range 5 {
		g.Expect(isClosed(s.dial(t, ""))).To(BeTrue())
	}
	close(release)
	raw, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw)).To(HaveSuffix("whole"))
	g.Eventually(s.limiter.Connections().Used, waitTimeout).Should(BeZero())
}

// Heads that don't end take the memory for heads: they make room for an ordinary one.
func TestHeadsWithoutEndMakeRoom(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 100, 64<<10, ok)
	for i := range 20 {
		s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(fmt.Sprintf("X%d: y\r\n", i), 50))
	}
	g.Eventually(s.requests.Used, waitTimeout).Should(BeNumerically(">", 48<<10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	g.Eventually(func() (int, error) { return s.get(t.Context(), client, nil) }, waitTimeout).Should(Equal(http.StatusOK))
	g.Expect(s.requests.Used()).To(BeNumerically("<=", 64<<10))
}

// A body without end is given up with 503 and a time to come back when the memory is needed, and the
// answer arrives although the rest of the body was not read.
func TestBodyIsGivenUpWithAnswer(t *testing.T) {
	g := NewWithT(t)
	bodies := bound.New(4 * 64 << 10)
	s := serve(t, 100, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, WithBodies(bodies))
	stopped := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50001\r\n\r\n"+strings.Repeat("x", 50000))
	g.Eventually(bodies.Used, waitTimeout).Should(BeNumerically(">", 0))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	g.Expect(s.get(t.Context(), client, bytes.NewReader(make([]byte, 64<<10)))).To(Equal(http.StatusOK))
	raw := make([]byte, 200)
	n, err := stopped.Read(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw[:n])).To(And(HavePrefix("HTTP/1.1 503"), ContainSubstring("Retry-After: 1\r\n")))
	g.Eventually(bodies.Used, waitTimeout).Should(BeZero())
}

// A body that is short until it is decompressed counts with its real size.
func TestCompressedBodiesCount(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 10, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, WithBodies(bound.New(1<<20)))
	for size, status := range map[int]int{100 << 10: http.StatusOK, 10 << 20: http.StatusServiceUnavailable} {
		var b bytes.Buffer
		zw := gzip.NewWriter(&b)
		_, err := zw.Write(make([]byte, size))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(zw.Close()).To(Succeed())
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.addr+"/", &b)
		g.Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Content-Encoding", "gzip")
		resp, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(resp.StatusCode).To(Equal(status))
	}
}

// What is left of a body that a handler didn't read isn't taken for a head: the client gets its answer,
// and its connection goes on.
func TestUnreadBodyIsNoHead(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 10, 64<<10, ok)
	client := &http.Client{Transport: &http.Transport{}}
	for range 3 {
		g.Expect(s.get(t.Context(), client, bytes.NewReader(make([]byte, 200<<10)))).To(Equal(http.StatusOK))
	}
	g.Expect(s.requests.Evictions()).To(BeZero())
	g.Eventually(s.requests.Used, waitTimeout).Should(BeZero())
}

// A client that doesn't read its answer loses its connection once others need it.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 2, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = w.Write(make([]byte, 64<<20)) // the client doesn't read it
		}
	})
	for range 2 {
		s.dial(t, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	g.Eventually(func() (int, error) { return s.get(t.Context(), client, nil) }, waitTimeout).Should(Equal(http.StatusOK))
}

// Clients that wait for the server's consent to send a body, and those whose body a handler doesn't read,
// take no place from others.
func TestUnsentBodiesMakeRoom(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 2, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = w.Write(make([]byte, 8<<10))
	})
	const head = " HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n"
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, path := range []string{"/read", "/ignore"} {
		for range 2 {
			s.dial(t, "POST "+path+head)
			s.dial(t, "POST "+path+strings.Replace(head, "Expect: 100-continue\r\n", "", 1))
		}
		g.Eventually(func() (int, error) { return s.get(t.Context(), client, nil) }, waitTimeout).Should(Equal(http.StatusOK))
	}
}
