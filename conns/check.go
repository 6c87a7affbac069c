package conns

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/h1resp"
)

type (
	// Transport is an http.Transport that accepts only valid HTTP/1.1 responses. One that isn't valid ends
	// its connection, and the request, or the read from its body, returns an error that wraps an
	// *h1resp.Error. Bytes that no request asked for end the connection, too. A body that ends with the
	// connection is complete once the server has received the whole request; else reading it returns a
	// *CutShortError. See Check.
	Transport struct {
		*http.Transport
	}

	// checkedConn is a connection whose responses are checked.
	checkedConn struct {
		net.Conn
		upload *upload

		mu      sync.Mutex
		checker h1resp.Checker
		// err is returned by all further reads.
		err error
	}

	// checkedBody is the body of a response on a checked connection.
	checkedBody struct {
		io.ReadCloser
		conn *checkedConn
	}

	// encryptedConn is a connection below TLS. Its end is an error: an orderly end comes with a close
	// notification, and tls.Conn doesn't tell whether there was one.
	encryptedConn struct{ net.Conn }

	dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)
)

var errNoCloseNotification = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended without a close notification")

// Check returns a transport that checks the responses that tr receives. It changes tr, which must not be
// in use, and not use HTTP/2.
func Check(tr *http.Transport) *Transport {
	dial := dialFunc(tr.DialContext)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	tr.DialContext = checked(dial)
	if tr.DialTLSContext == nil {
		tr.DialTLSContext = withTLS(dial, tr.TLSClientConfig)
	}
	tr.DialTLSContext = checked(tr.DialTLSContext)
	return &Transport{tr}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *checkedConn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*checkedConn); ok {
			conn = c
			c.expect(r.Method)
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if conn == nil {
		return resp, err
	}
	if err != nil {
		return nil, conn.cause(err)
	}
	if resp.Body != http.NoBody {
		resp.Body = checkedBody{ReadCloser: resp.Body, conn: conn}
	}
	return resp, nil
}

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.conn.cause(err)
	}
	return n, err
}

// Drain reads what is left of a body, of n bytes at most, so that its connection can be used again. The
// error is an *h1resp.Error if that isn't valid. After any other error the connection isn't used again,
// and the error says nothing about the response.
func Drain(body io.Reader, n int64) error {
	_, err := io.CopyN(io.Discard, body, n)
	var invalid *h1resp.Error
	if errors.As(err, &invalid) {
		return invalid
	}
	return nil
}

// checked returns a dial function whose connections are checked.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c, upload: newUpload(c)}, nil
	}
}

// withTLS returns a dial function that opens encrypted connections, as http.Transport does by itself: its
// own would be encrypted where they are checked.
func withTLS(dial dialFunc, cfg *tls.Config) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, errors.Wrap(err, "dialling with TLS")
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		cfg := cfg.Clone()
		if cfg == nil {
			cfg = new(tls.Config)
		}
		if cfg.ServerName == "" {
			cfg.ServerName = host
		}
		secure := tls.Client(encryptedConn{c}, cfg)
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, errors.CombineErrors(&net.OpError{Op: "dial", Net: network, Err: err}, c.Close())
		}
		return secure, nil
	}
}

// Read implements net.Conn.
func (c encryptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = errNoCloseNotification
	}
	return n, err
}

// NetConn returns the connection that c wraps.
func (c encryptedConn) NetConn() net.Conn { return c.Conn }

// expect says that a request is about to be sent on the connection.
func (c *checkedConn) expect(method string) {
	c.upload.begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Expect(method)
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.upload.wrote(p[:n], err)
	return n, err
}

// Close implements net.Conn.
func (c *checkedConn) Close() error {
	c.upload.close()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	n, checkErr := c.check(p[:n])
	if checkErr != nil {
		return n, checkErr
	}
	if errors.Is(err, io.EOF) && c.endsBody() {
		if cut := c.upload.await(); cut != nil {
			err = c.fail(cut)
		}
	}
	return n, err
}

// check checks received bytes and returns how many of them may be read. The response may be complete by
// these. What follows them fails this read if there are none, and else the next one.
func (c *checkedConn) check(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.checker.Check(p)
	c.err = err
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// endsBody reports whether the end of the connection is that of a body.
func (c *checkedConn) endsBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.EndsWithConnection()
}

// fail has all further reads return err.
func (c *checkedConn) fail(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	return err
}

func (c *checkedConn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// cause returns why reading a response failed. The error of http.Transport may say something else, such as
// that a line is incomplete.
func (c *checkedConn) cause(err error) error {
	var invalid *h1resp.Error
	var cut *CutShortError
	if failed := c.failed(); errors.As(failed, &invalid) || errors.As(failed, &cut) {
		return failed
	}
	return err
}
