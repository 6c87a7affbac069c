package conns

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// lossyServer answers the first request of each connection, reads the second one and closes the
// connection without an answer. It records the requests after the first, as they came.
type lossyServer struct {
	addr string
	mu   sync.Mutex
	lost []string
}

func newLossyServer(t *testing.T) *lossyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &lossyServer{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *lossyServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var raw bytes.Buffer
	br := bufio.NewReader(io.TeeReader(c, &raw))
	for {
		raw.Reset()
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the test compares what came
		if r.URL.Path != "/first" {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lost = append(s.lost, raw.String())
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// send sends a request on a kept connection and returns what the server received of it, each time
// that it came.
func (s *lossyServer) send(t *testing.T, method, key string, body io.Reader, prepare func(*http.Request)) []string {
	t.Helper()
	tr := New()
	defer tr.CloseIdleConnections()
	first, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.addr+"/first", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := tr.RoundTrip(first)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is kept
	_ = resp.Body.Close()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.addr+"/second", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header["User-Agent"] = nil
	if key != "" {
		r.Header.Set(key, "k")
	}
	prepare(r)
	resp, err = tr.RoundTrip(r)
	if err == nil {
		_ = resp.Body.Close()
		t.Fatalf("%s: answered %d", method, resp.StatusCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.lost
	s.lost = nil
	return out
}

// A server runs a request and its answer is lost. The transport must not send the request again by
// itself, whatever its method and its headers, since it may run twice then. All else stays as it
// was on the wire.
func TestSendOnce(t *testing.T) {
	s := newLossyServer(t)
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE", "SEARCH"} {
		for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for _, body := range []string{"", "body"} {
				t.Run(method+" "+key+" "+body, func(t *testing.T) {
					g := NewWithT(t)
					got := s.send(t, method, key, bytes.NewReader([]byte(body)), SendOnce)
					g.Expect(got).To(HaveLen(1))
					plain := s.send(t, method, key, bytes.NewReader([]byte(body)), func(r *http.Request) { r.GetBody = nil })
					g.Expect(strings.ToLower(got[0])).To(Equal(strings.ToLower(plain[0])))
				})
			}
		}
	}
}
