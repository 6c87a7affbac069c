package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// endlessHead is the head of a response whose body ends with the connection.
	endlessHead = "HTTP/1.1 200 OK\r\n\r\n"
	waitTimeout = 10 * time.Second
)

type (
	// gatedBody is a body of which first can be read at once, and the rest once gate is closed.
	gatedBody struct {
		first, rest io.Reader
		gate        chan struct{}
	}

	pieces struct{ io.Reader }

	// failingConn is a connection that answers the first bytes of a request and fails the writes after fail is
	// closed, as a kernel does that hands the error of a reset to a write: reads find an orderly end behind it.
	failingConn struct {
		net.Conn // nil; the other methods aren't called
		answer   *strings.Reader
		asked    chan struct{}
		fail     chan struct{}
		failed   chan struct{}
		written  int
	}
)

func (b *gatedBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	<-b.gate
	return b.rest.Read(p)
}

func newGatedBody(first, rest int) *gatedBody {
	return &gatedBody{first: zeros(first), rest: zeros(rest), gate: make(chan struct{})}
}

// zeros returns a body of n bytes that is read, and thus written, in small pieces.
func zeros(n int) io.Reader { return pieces{strings.NewReader(strings.Repeat("0", n))} }

func (r pieces) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), 4<<10)]) }

// patiently has connections opened also on a machine that runs much else.
func patiently(tr *http.Transport) { tr.DialContext = Dialer(waitTimeout).DialContext }

func (c *failingConn) Write(p []byte) (int, error) {
	if c.written += len(p); c.written == len(p) {
		close(c.asked)
		return len(p), nil
	}
	<-c.fail
	defer close(c.failed)
	return 0, syscall.ECONNRESET
}

func (c *failingConn) Read(p []byte) (int, error) {
	<-c.asked
	if n, err := c.answer.Read(p); err == nil {
		return n, nil
	}
	<-c.failed
	return 0, io.EOF
}

func (c *failingConn) Close() error { return nil }

// post uploads n bytes and returns the body of the response.
func post(t *testing.T, tr http.RoundTripper, addr string, body io.Reader, n int) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr, body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	r.ContentLength = int64(n)
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// rawWorker accepts connections until the test ends and serves each with serve, in turn.
func rawWorker(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// readHead reads until the end of a head, and returns the number of bytes behind it.
func readHead(c net.Conn) int {
	received, buf := "", make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		received += string(buf[:n])
		if _, body, ok := strings.Cut(received, "\r\n\r\n"); ok || err != nil {
			return len(body)
		}
	}
}

// Guards against a part of a body that passes for the whole: the connection was reset while the request was
// written, and the write has taken the error, so that the read finds an orderly end.
func TestResetThatAWriteReports(t *testing.T) {
	g := NewWithT(t)
	conn := &failingConn{answer: strings.NewReader(endlessHead + "part"),
		asked: make(chan struct{}), fail: make(chan struct{}), failed: make(chan struct{})}
	tr := Check(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
	const size = 1 << 20
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://worker", zeros(size))
	g.Expect(err).NotTo(HaveOccurred())
	r.ContentLength = size
	resp, err := tr.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	close(conn.fail)
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).To(BeAssignableToTypeOf(&CutShortError{}))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// Guards against a part of a body that passes for the whole: the worker closes the connection before the rest of
// the request reaches it, so that the response has an orderly end, and resets it when the rest does.
func TestResetBehindTheEnd(t *testing.T) {
	const first, rest = 8 << 10, 1 << 10
	for range 20 {
		g := NewWithT(t)
		body := newGatedBody(first, rest)
		addr := rawWorker(t, func(c *net.TCPConn) {
			n := readHead(c)
			_, _ = io.CopyN(io.Discard, c, int64(first-n)) // the client has the rest
			_, _ = io.WriteString(c, endlessHead+"part")
			_ = c.Close()
			time.AfterFunc(10*time.Millisecond, func() { close(body.gate) })
		})
		got, err := post(t, New(patiently), addr, body, first+rest)
		g.Expect(err).To(HaveOccurred(), "read %q", got)
	}
}

// Guards against parts of bodies that pass for the whole, whatever comes first, the reset, the end or the rest of the
// request.
func TestResetWhileUploading(t *testing.T) {
	const size, calls = 800 << 10, 200
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	for name, end := range map[string]func(c *net.TCPConn){
		"resets at once":    reset,
		"resets after 2 ms": func(c *net.TCPConn) { time.Sleep(2 * time.Millisecond); reset(c) },
		"resets within the upload": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, size/2) // the client goes on
			reset(c)
		},
		"closes after 2 ms": func(*net.TCPConn) { time.Sleep(2 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := rawWorker(t, func(c *net.TCPConn) {
				readHead(c)
				_, _ = io.WriteString(c, endlessHead+"part")
				end(c)
				_ = c.Close()
			})
			complete, tr := 0, New(patiently)
			for range calls {
				if _, err := post(t, tr, addr, zeros(size), size); err == nil {
					complete++
				}
			}
			g.Expect(complete).To(BeZero(), "of %d", calls)
		})
	}
}

// Guards against whole responses that are refused since they end with their connection: after the whole request, and
// before it by a worker that reads on.
func TestEndOfTheConnectionEndsABody(t *testing.T) {
	const size = 800 << 10
	for name, serve := range map[string]func(c *net.TCPConn){
		"reads, then answers": func(c *net.TCPConn) {
			n := readHead(c)
			_, _ = io.CopyN(io.Discard, c, int64(size-n)) // the client has the rest
			_, _ = io.WriteString(c, endlessHead+"whole")
		},
		"answers, then reads": func(c *net.TCPConn) {
			n := readHead(c)
			_, _ = io.WriteString(c, endlessHead+"whole")
			time.Sleep(2 * time.Millisecond)
			_, _ = io.CopyN(io.Discard, c, int64(size-n)) // the client has the rest
		},
		"ends its answer, then reads": func(c *net.TCPConn) {
			n := readHead(c)
			_, _ = io.WriteString(c, endlessHead+"whole")
			_ = c.CloseWrite()
			time.Sleep(2 * time.Millisecond)
			_, _ = io.CopyN(io.Discard, c, int64(size-n)) // the client has the rest
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := rawWorker(t, func(c *net.TCPConn) {
				serve(c)
				_ = c.Close()
			})
			tr := New(patiently)
			for range 40 {
				body, err := post(t, tr, addr, zeros(size), size)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("whole"))
			}
		})
	}
}

// Guards against a reset that answers the last bytes of a request and isn't seen where the system doesn't tell what
// was received, and against whole responses that are refused there.
func TestUnknownDelivery(t *testing.T) {
	g := NewWithT(t)
	accepted := make(chan *net.TCPConn, 1)
	conn, err := net.Dial("tcp", rawWorker(t, func(c *net.TCPConn) { accepted <- c }))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	u := newUpload(conn)
	u.delivered = func(net.Conn) (bool, error) { return false, errNoDelivery }
	g.Expect(u.awaitDelivery(true)).To(Succeed())
	g.Expect((<-accepted).Close()).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(u.awaitDelivery(true)).To(Succeed(), "nothing was sent after the end")
	_, err = io.WriteString(conn, "the rest")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(u.awaitDelivery(false)).To(Succeed(), "the request was written before the end")
	g.Expect(u.awaitDelivery(true)).To(MatchError(syscall.EPIPE))
}

// Guards against a response whose end waits without an end, or not long enough, for a request of which the peer
// receives nothing more, and against one that counts before the whole request was received.
func TestWaitForTheRequest(t *testing.T) {
	request := []byte("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n012")
	for _, c := range []struct {
		name string
		// progress is how long the writes take, with a byte each second; delivery is how long the kernel takes then.
		progress, delivery time.Duration
		isClosed           bool
		want               error
		took               time.Duration
	}{
		{name: "written and received"},
		{name: "received later", delivery: time.Second, took: time.Second},
		{name: "written later", progress: 3 * time.Second, took: 3 * time.Second},
		{name: "both", progress: 3 * time.Second, delivery: time.Second, took: 4 * time.Second},
		{name: "not written", progress: time.Hour, want: errStalled, took: maxUploadStall + 2*time.Second},
		{name: "not received", delivery: time.Hour, want: errStalled, took: maxUploadStall},
		{name: "closed while it is written", progress: time.Hour, isClosed: true, want: net.ErrClosed, took: time.Second},
		{name: "closed while it is received", delivery: time.Hour, isClosed: true, want: net.ErrClosed, took: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				u := newUpload(nil)
				start := time.Now()
				u.delivered = func(net.Conn) (bool, error) { return time.Since(start) >= c.progress+c.delivery, nil }
				u.begin()
				if c.progress == 0 {
					u.wrote(request, nil)
				} else {
					u.wrote(request[:len(request)-3], nil)
					for i := range 3 {
						at := time.Duration(i+1) * time.Second
						if c.progress == time.Hour && i == 2 {
							break
						}
						time.AfterFunc(at, func() { u.wrote(request[len(request)-3+i:][:1], nil) })
					}
				}
				if c.isClosed {
					time.AfterFunc(time.Second, u.close)
				}
				err := u.await()
				if c.want == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(c.want))
					g.Expect(err).To(BeAssignableToTypeOf(&CutShortError{}))
				}
				g.Expect(time.Since(start)).To(BeNumerically("~", c.took, 2*maxDeliveryPoll))
				u.close()
			})
		})
	}
}

// Guards against a write that succeeded while the peer had reset the connection, with the error taken by a read.
func TestDeliveryOfAResetConnection(t *testing.T) {
	g := NewWithT(t)
	accepted := make(chan *net.TCPConn, 1)
	conn, err := net.Dial("tcp", rawWorker(t, func(c *net.TCPConn) { accepted <- c }))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	isDelivered, err := delivered(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(isDelivered).To(BeTrue())
	peer := <-accepted
	g.Expect(peer.SetReadBuffer(1)).To(Succeed())
	_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = conn.Write(make([]byte, 64<<20)) // more than is received
	g.Expect(err).To(HaveOccurred())
	isDelivered, err = delivered(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(isDelivered).To(BeFalse())
	g.Expect(peer.SetLinger(0)).To(Succeed())
	g.Expect(peer.Close()).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	_, err = delivered(conn)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	pipe, _ := net.Pipe()
	_, err = delivered(pipe)
	g.Expect(err).To(MatchError(errNoDelivery))
}
