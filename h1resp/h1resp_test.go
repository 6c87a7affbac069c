package h1resp

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

const okLine = "HTTP/1.1 200 OK\r\n"

// checkParts passes raw to a checker in parts of the given size, and returns how many bytes are valid.
func checkParts(c *Checker, raw string, size int) (valid int, err error) {
	for rest := []byte(raw); len(rest) > 0; {
		part := rest[:min(size, len(rest))]
		n, err := c.Check(part)
		valid += n
		if err != nil {
			return valid, err
		}
		rest = rest[len(part):]
	}
	return valid, nil
}

// Guards against bytes that net/http takes for a response, or for the end of one, and that aren't valid.
func TestInvalid(t *testing.T) {
	for _, tt := range []struct{ name, raw string }{
		{"status 000", "HTTP/1.1 000 X\r\n"},
		{"status 099", "HTTP/1.1 099 X\r\n"},
		{"status 600", "HTTP/1.1 600 X\r\n"},
		{"sign in the status", "HTTP/1.1 +20 X\r\n"},
		{"status 101", "HTTP/1.1 101 X\r\n"},
		{"long status", "HTTP/1.1 2000 X\r\n"},
		{"no status", "HTTP/1.1\r\n"},
		{"empty line", "\r\n"},
		{"version 2.0", "HTTP/2.0 200 OK\r\n"},
		{"no digit in the version", "HTTP/1.x 200 OK\r\n"},
		{"two blanks", "HTTP/1.1  200 OK\r\n"},
		{"control byte in the reason", "HTTP/1.1 200 \x7f\r\n"},
		{"blank in a name", okLine + "X Odd: v\r\n"},
		{"blank behind a name", okLine + "X-Odd : v\r\n"},
		{"blank before a name", okLine + " X-Odd: v\r\n"},
		{"folded line", okLine + "X-Odd: v\r\n\tv\r\n"},
		{"empty name", okLine + ": v\r\n"},
		{"no colon", okLine + "X-Odd\r\n"},
		{"control byte in a name", okLine + "X\x00: v\r\n"},
		{"control byte in a value", okLine + "X: \x00\r\n"},
		{"two carriage returns", okLine + "X: v\r\r\n"},
		{"sign in the length", okLine + "Content-Length: +2\r\n"},
		{"two lengths", okLine + "Content-Length: 2\r\nContent-Length: 3\r\n"},
		{"equal lengths sent differently", okLine + "Content-Length: 2\r\nContent-Length: 02\r\n"},
		{"length over 63 bits", okLine + "Content-Length: 9223372036854775808\r\n"},
		{"unknown coding", okLine + "Transfer-Encoding: gzip, chunked\r\n"},
		{"two codings", okLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"length and coding", okLine + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"length of an interim response", "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\n"},
		{"coding with status 204", "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"chunk size", okLine + "Transfer-Encoding: chunked\r\n\r\n0x2\r\n"},
		{"sign in a chunk size", okLine + "Transfer-Encoding: chunked\r\n\r\n+2\r\n"},
		{"empty chunk size", okLine + "Transfer-Encoding: chunked\r\n\r\n\r\n"},
		{"chunk size over 63 bits", okLine + "Transfer-Encoding: chunked\r\n\r\n8000000000000000\r\n"},
		{"chunk size with zeros", okLine + "Transfer-Encoding: chunked\r\n\r\n00000000000000000\r\n"},
		{"blank behind a chunk size", okLine + "Transfer-Encoding: chunked\r\n\r\n2 \r\n"},
		{"line feed alone in chunks", okLine + "Transfer-Encoding: chunked\r\n\r\n2\n"},
		{"line feed alone in the trailer", okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n\n"},
		{"control byte in an extension", okLine + "Transfer-Encoding: chunked\r\n\r\n2;\x01\r\n"},
		{"long chunk", okLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n"},
		{"name in the trailer", okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Odd: v\r\n"},
		{"length in the trailer", okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 2\r\n"},
		{"endless line", okLine + "X: " + strings.Repeat("x", maxLineBytes)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, size := range []int{1, 7, len(tt.raw)} {
				var c Checker
				c.Expect(http.MethodGet)
				valid, err := checkParts(&c, tt.raw, size)
				var invalid *Error
				g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
				g.Expect(len(err.Error())).To(BeNumerically("<", 400))
				// What a client reads doesn't tell it of the end of the header.
				_, err = http.ReadResponse(bufio.NewReader(strings.NewReader(tt.raw[:valid])), nil)
				if !strings.Contains(tt.raw[:valid], "\r\n\r\n") {
					g.Expect(err).To(HaveOccurred())
				}
			}
		})
	}
}

// Guards against valid responses that are refused, and against bytes behind a response that are taken for
// the next one.
func TestValid(t *testing.T) {
	const end = "HTTP/1.1 421 X\r\n\r\n"
	for _, tt := range []struct{ name, method, raw string }{
		{"length", "GET", okLine + "Content-Length: 2\r\n\r\nhi"},
		{"no body", "GET", okLine + "content-length: 0\r\n\r\n"},
		{"chunks", "GET", okLine + "transfer-encoding: Chunked\r\n\r\n2;a=\"b\"\r\nhi\r\nA ; b\r\n0123456789\r\n00\r\nX-Odd: v\r\n\r\n"},
		{"response to HEAD", "HEAD", okLine + "Content-Length: 2\r\n\r\n"},
		{"chunks of a response to HEAD", "HEAD", okLine + "Transfer-Encoding: chunked\r\n\r\n"},
		{"status 204", "GET", "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n"},
		{"status 304", "GET", "HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n"},
		{"interim responses", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: v\r\n\r\n" + okLine + "Content-Length: 2\r\n\r\nhi"},
		{"line feeds alone", "GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi"},
		{"no reason", "GET", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nhi"},
		{"version 1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
		{"equal lengths", "GET", okLine + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, size := range []int{1, 7, 1 << 10} {
				var c Checker
				for range 3 {
					c.Expect(tt.method)
					valid, err := checkParts(&c, tt.raw+end, size)
					g.Expect(errors.Is(err, io.EOF)).To(BeTrue(), "%v", err)
					g.Expect(valid).To(Equal(len(tt.raw)))
				}
			}
		})
	}
}

// Guards against an error, which is logged, that quotes what may be the text of a response.
func TestErrorsDontQuoteBodies(t *testing.T) {
	const text = "the words of a sample: and its end"
	chunked := okLine + "Transfer-Encoding: chunked\r\n\r\n"
	for _, raw := range []string{text, okLine + text, okLine + " " + text, okLine + "X: " + text + "\x00", chunked + text, chunked + "2;" + text + "\x00",
		chunked + "2\r\nhi" + text, chunked + "0\r\n" + text} {
		var c Checker
		c.Expect(http.MethodGet)
		_, err := c.Check([]byte(raw + "\r\n"))
		g := NewWithT(t)
		g.Expect(err).To(HaveOccurred(), "%q", raw)
		g.Expect(err.Error()).NotTo(ContainSubstring("words"), "%q", raw)
	}
}

// Guards against bytes that a server sends before it has a request.
func TestNoResponseIsDue(t *testing.T) {
	g := NewWithT(t)
	var c Checker
	n, err := c.Check([]byte(okLine))
	g.Expect(n).To(BeZero())
	g.Expect(errors.Is(err, io.EOF)).To(BeTrue())
}

// Guards against a response of which the checker and net/http, which reads it, have different views: its bytes
// may come in any parts, and what is valid must be read, to its end.
func FuzzCheck(f *testing.F) {
	f.Add(okLine+"Content-Length: 2\r\n\r\nhi", "GET", uint8(1))
	f.Add(okLine+"Transfer-Encoding: chunked\r\n\r\n2;a\r\nhi\r\n0\r\nX: v\r\n\r\n", "POST", uint8(3))
	f.Add("HTTP/1.1 103 X\r\nX: v\r\n\r\nHTTP/1.1 204 X\r\n\r\n", "GET", uint8(2))
	f.Add("HTTP/1.1 200 \nTrAnsfer-EnCoding:Chunked\n\n0\r\n\n", "GET", uint8(1))
	f.Add("HTTP/1.1 200\nTrAnsfer-EnCoding:Chunked\n\n00000000000000000\r\n\r\n", "GET", uint8(1))
	f.Add(okLine+"X\xc3\xa9: v\r\n\r\n", "GET", uint8(1))
	f.Add("HTTP/1.0 200\nContent-Length:00\nContent-Length:0\n\n", "GET", uint8(1))
	f.Add("HTTP/1.0 200 OK\nX: v\n\nhi", "GET", uint8(5))
	f.Add("HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n", "HEAD", uint8(9))
	f.Add(okLine+"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET", uint8(4))
	f.Fuzz(func(t *testing.T, raw, method string, size uint8) {
		if method != http.MethodHead {
			method = http.MethodGet
		}
		var whole, parts Checker
		whole.Expect(method)
		parts.Expect(method)
		valid, err := whole.Check([]byte(raw))
		_, partsErr := checkParts(&parts, raw, 1+int(size))
		if (err == nil) != (partsErr == nil) || errors.Is(err, io.EOF) != errors.Is(partsErr, io.EOF) {
			t.Fatalf("%q: %v as a whole, %v in parts", raw, err, partsErr)
		}
		if whole.part != idle {
			return
		}
		r := bufio.NewReader(strings.NewReader(raw[:valid]))
		for {
			resp, err := http.ReadResponse(r, &http.Request{Method: method})
			if err != nil {
				t.Fatalf("%q is valid, and net/http says: %v", raw[:valid], err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatalf("%q is valid, and net/http says of the body: %v", raw[:valid], err)
			}
			if resp.StatusCode >= minFinal {
				break
			}
		}
		if left := r.Buffered(); left > 0 {
			t.Fatalf("%q: net/http leaves %d bytes", raw[:valid], left)
		}
	})
}
