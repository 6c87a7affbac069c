package netset_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/engine"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/netset"
	"github.com/lavendermux/lavendermux/plain"
	"github.com/lavendermux/lavendermux/scorer"
	"github.com/lavendermux/lavendermux/wire"
)

// serveRaw answers each request with the given bytes and closes the connection.
func serveRaw(t *testing.T, answer string) (base string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body) // an unreadable one ends the connection
				_, _ = io.WriteString(c, answer)   // the client may have closed it
			}
			_ = c.Close() // the answer is sent
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against bytes that are no answer in HTTP/1.1 and are taken for one: a caller got them as the answer of a
// plain service, an engine that said it had not started counted as one that hasn't, and a trainer got a
// score that its scorer didn't give.
func TestInvalidAnswersOfServices(t *testing.T) {
	const (
		score  = `{"sampleId":"s","score":1}`
		events = "data: {\"text\":\"a\",\"tokens\":1}\n\ndata: {\"done\":true,\"total\":1,\"finish\":\"stop\"}\n\n"
		odd    = "X Odd: v\r\n\r\n"
	)
	for _, status := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX Odd: v\r\n", "HTTP/1.1 503 X\r\nX-Odd : v\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 999 X\r\n"} {
		g := NewWithT(t)
		client := netset.New().Client()
		var unavailable *fault.UnavailableError

		out, err := plain.New(serveRaw(t, status+"\r\nhi"), plain.WithHTTP(client)).Call(context.Background(), &wire.CallRequest{Method: http.MethodPost, Path: "/book"})
		g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%q: %v %v", status, out, err)

		_, err = scorer.New(serveRaw(t, status+"\r\n"+score), scorer.WithHTTP(client)).Score(context.Background(), "s", "p", "t")
		g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%q: %v", status, err)

		e := engine.New(serveRaw(t, status+"\r\n"+events), engine.WithHTTP(client))
		err = e.Generate(context.Background(), genreq.Request{}, func(genev.Event) error { return nil })
		g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%q: %v", status, err)
		_, err = e.State(context.Background())
		g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%q: %v", status, err)
	}
	_, err := plain.New(serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"+odd), plain.WithHTTP(netset.New().Client())).
		Call(context.Background(), &wire.CallRequest{Method: http.MethodPost, Path: "/book"})
	NewWithT(t).Expect(err).To(HaveOccurred())
}
