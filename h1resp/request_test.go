package h1resp

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against requests whose end isn't found, or is found too early: with a length, in chunks, without a body, in
// pieces of any size, and one after another.
func TestRequestIsComplete(t *testing.T) {
	const text = "0\r\n\r\nGET / HTTP/1.1\r\n\r\n"
	for _, c := range []struct {
		name, method string
		body         io.Reader
		prepare      func(*http.Request)
	}{
		{"no body", http.MethodGet, nil, func(*http.Request) {}},
		{"empty body", http.MethodPost, strings.NewReader(""), func(*http.Request) {}},
		{"HEAD", http.MethodHead, nil, func(*http.Request) {}},
		{"length", http.MethodPost, strings.NewReader(text), func(*http.Request) {}},
		{"chunks", http.MethodPost, io.MultiReader(strings.NewReader(text)), func(*http.Request) {}},
		{"trailer", http.MethodPost, io.MultiReader(strings.NewReader(text)), func(r *http.Request) { r.Trailer = http.Header{"X-A": {"v"}} }},
	} {
		g := NewWithT(t)
		r, err := http.NewRequestWithContext(t.Context(), c.method, "http://host/", c.body)
		g.Expect(err).NotTo(HaveOccurred())
		c.prepare(r)
		var raw bytes.Buffer
		g.Expect(r.Write(&raw)).To(Succeed())
		var sent Request
		for piece := 1; piece <= raw.Len(); piece++ {
			sent.Begin()
			g.Expect(sent.IsComplete()).To(BeFalse())
			for rest := raw.Bytes(); len(rest) > 0; {
				n := min(piece, len(rest))
				sent.Sent(rest[:n])
				rest = rest[n:]
				g.Expect(sent.IsComplete()).To(Equal(len(rest) == 0), "%s: %d bytes left", c.name, len(rest))
			}
		}
	}
	g := NewWithT(t)
	var sent Request
	sent.Begin()
	sent.Sent([]byte("GET / HTTP/1.1\r\nContent-Length: odd\r\n\r\n"))
	g.Expect(sent.IsComplete()).To(BeFalse(), "its end isn't known")
}
