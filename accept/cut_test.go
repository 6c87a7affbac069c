package accept

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a part of a body that passes for the whole: to a client of HTTP/1.0 only the end of the connection
// tells the end of a body, so that a response that is given up must end with a reset.
func TestCutResponseToOldClient(t *testing.T) {
	for _, c := range []struct {
		name, request string
		// end is what the handler does after the first part.
		end func(*http.Request)
		// stop is what is done to the server then.
		stop       func(*server)
		isComplete bool
	}{
		{name: "whole", request: "GET / HTTP/1.0\r\n\r\n", end: func(*http.Request) {}, isComplete: true},
		{name: "aborted", request: "GET / HTTP/1.0\r\n\r\n", end: func(*http.Request) { panic(http.ErrAbortHandler) }},
		{name: "server closed", request: "GET / HTTP/1.0\r\n\r\n", end: func(r *http.Request) { <-r.Context().Done() },
			stop: func(s *server) { _ = s.http.Close() }},
		{name: "second on a connection", request: "GET /length HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.0\r\n\r\n",
			end: func(*http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, 10, 1<<20, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/length" {
					w.Header().Set("Content-Length", "4")
				}
				_, _ = io.WriteString(w, "part") // the client stays
				_ = http.NewResponseController(w).Flush()
				if r.URL.Path != "/length" {
					c.end(r)
				}
			})
			conn := bufio.NewReader(s.dial(t, c.request))
			if c.name == "second on a connection" {
				first, err := http.ReadResponse(conn, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(io.ReadAll(first.Body)).To(BeEquivalentTo("part"))
			}
			resp, err := http.ReadResponse(conn, nil)
			g.Expect(err).NotTo(HaveOccurred())
			part := make([]byte, 4)
			_, err = io.ReadFull(resp.Body, part)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(part)).To(Equal("part"))
			if c.stop != nil {
				c.stop(s)
			}
			rest, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			g.Expect(rest).To(BeEmpty())
			if c.isComplete {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(HaveOccurred())
			}
		})
	}
}

// Guards against events that a client of HTTP/1.1 loses with a reset: it sees by the chunks that the rest is missing.
func TestCutResponseKeepsItsPart(t *testing.T) {
	g := NewWithT(t)
	const size = 1 << 20
	s := serve(t, 10, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size)) // the client stays
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultTransport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	time.Sleep(20 * time.Millisecond) // a reset would overtake what the client hasn't received
	part, err := io.ReadAll(resp.Body)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(part).To(HaveLen(size))
}

// Guards against a part of a body that passes for the whole: as above, to a client that doesn't read and is evicted.
func TestEvictedOldClient(t *testing.T) {
	g := NewWithT(t)
	const size = 64 << 20
	s := serve(t, 1, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size)) // fails when the client is evicted
	})
	resp, err := http.ReadResponse(bufio.NewReader(s.dial(t, "GET / HTTP/1.0\r\n\r\n")), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Eventually(func() int64 {
		_ = s.dial(t, "").Close() // needs the place
		return s.limiter.Connections().Evictions()
	}, waitTimeout, 100*time.Millisecond).Should(BeNumerically(">", 0))
	n, err := io.Copy(io.Discard, resp.Body)
	g.Expect(n).To(BeNumerically("<", size))
	g.Expect(err).To(HaveOccurred())
}
