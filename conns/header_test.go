package conns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a server that sends a header, or interim responses, without an end: the client must
// read little of it and close the connection.
func TestHeaderWithoutEnd(t *testing.T) {
	for _, raw := range [][2]string{{"HTTP/1.1 200 OK\r\n", "X-Fill: fill\r\n"}, {"HTTP/1.1 200 OK\r\nX-Fill: ", "fill"}, {"HTTP/1.1 200 ", "fill"},
		{"", "HTTP/1.1 103 Early Hints\r\nLink: fill\r\n\r\n"}} {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		sent := make(chan int, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			total, err := io.WriteString(c, raw[0])
			for err == nil {
				n, writeErr := io.WriteString(c, raw[1])
				total, err = total+n, writeErr
			}
			sent <- total
		}()
		_, err = NewClient(New()).Get("http://" + l.Addr().String()) //nolint:bodyclose // There is no response.
		g.Expect(err).To(HaveOccurred())
		var n int
		g.Eventually(sent, 5*time.Second).Should(Receive(&n), "%q", raw)
		g.Expect(n).To(BeNumerically("<", 8<<20), "with what the kernel buffers")
		_ = l.Close()
	}
}
