package conns

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/h1resp"
)

const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawServer answers the n-th request of all connections with answer(n), and counts its connections.
type rawServer struct {
	addr             string
	requests, opened atomic.Int64
}

func newRawServer(t *testing.T, answer func(n int64) string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn, answer func(n int64) string) {
	defer func() { _ = c.Close() }()
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // an unreadable one ends the connection at the next read
		if _, err := io.WriteString(c, answer(s.requests.Add(1))); err != nil {
			return
		}
	}
}

// get returns the body of a response.
func get(c *http.Client, addr string) (string, error) {
	resp, err := c.Get("http://" + addr)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against bytes that are no valid response and that net/http takes for one: in the header, in an interim
// response, in the body or in the trailer. The error must name the cause, and the connection be closed.
func TestInvalidResponses(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"HTTP/1.1 103 X\r\nX Odd: v\r\n\r\n" + soundResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0;\x01\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Odd: v\r\n\r\n",
	} {
		g := NewWithT(t)
		s := newRawServer(t, func(n int64) string {
			if n == 2 {
				return raw
			}
			return soundResponse
		})
		c := NewClient(New())
		for n := 1; n <= 3; n++ {
			body, err := get(c, s.addr)
			if n != 2 {
				g.Expect(err).NotTo(HaveOccurred(), "%q", raw)
				g.Expect(body).To(Equal("ok"))
				continue
			}
			var invalid *h1resp.Error
			g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%q: %v", raw, err)
		}
		g.Expect(s.opened.Load()).To(BeEquivalentTo(2), "%q", raw)
	}
}

// Guards against connections that are closed though their responses are valid: each would cost a round trip.
func TestConnectionsAreKept(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  soundResponse,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: v\r\n\r\n",
		"interim": "HTTP/1.1 103 X\r\nLink: v\r\n\r\n" + soundResponse,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newRawServer(t, func(int64) string { return raw })
			c := NewClient(New())
			for range 20 {
				body, err := get(c, s.addr)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("ok"))
			}
			resp, err := c.Head("http://" + s.addr)
			g.Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			g.Expect(s.opened.Load()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against bytes behind a response that are taken for the response to the next request: those of the
// first connection are followed by another response.
func TestBytesBehindAResponse(t *testing.T) {
	g := NewWithT(t)
	s := newRawServer(t, func(n int64) string {
		if n == 1 {
			return soundResponse + "HTTP/1.1 421 X\r\nContent-Length: 2\r\n\r\nno"
		}
		return soundResponse
	})
	c := NewClient(New())
	body, err := get(c, s.addr)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	g.Eventually(func() string {
		body, _ := get(c, s.addr) // the connection may end under the request
		return body
	}, 2*time.Second).Should(Equal("ok"))
	g.Expect(s.opened.Load()).To(BeEquivalentTo(2))
}

// Guards against responses on an encrypted connection that are checked before they are decrypted, or not at
// all.
func TestEncryptedResponses(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "ok") // the client stays
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno") // the client may have closed it
	}))
	defer srv.Close()
	c := NewClient(New(func(tr *http.Transport) {
		tr.TLSClientConfig = srv.Client().Transport.(*http.Transport).TLSClientConfig
	}))
	for range 2 {
		resp, err := c.Get(srv.URL + "/sound")
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("ok"))
	}
	resp, err := c.Get(srv.URL + "/invalid")
	if err == nil {
		resp.Body.Close()
	}
	var invalid *h1resp.Error
	g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
	_, err = NewClient(New()).Get(srv.URL + "/sound") //nolint:bodyclose // The certificate isn't known.
	g.Expect(err).To(HaveOccurred())
}

// Guards against a part of a body that passes for the whole: an encrypted connection that ends without a close
// notification may have been cut by anyone, and its body has no length.
func TestEncryptedEnd(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		g := NewWithT(t)
		srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, endlessHead+"part") // the client stays
			if isCut {
				c = c.(*tls.Conn).NetConn()
			}
			_ = c.Close()
		}))
		c := NewClient(New(patiently, func(tr *http.Transport) {
			tr.TLSClientConfig = srv.Client().Transport.(*http.Transport).TLSClientConfig
		}))
		resp, err := c.Get(srv.URL)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(string(body)).To(Equal("part"))
		if isCut {
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		} else {
			g.Expect(err).NotTo(HaveOccurred())
		}
		srv.Close()
	}
}
