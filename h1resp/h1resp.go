// Package h1resp checks that the bytes of a connection are valid HTTP/1.1 responses, by RFC 9110 and RFC 9112.
//
// The client of net/http accepts some responses that aren't valid: with a status code that doesn't exist,
// with blanks in the names of fields, or with a body whose length is told in contradictory ways. A proxy
// that passes one on vouches for it, and may pass on a body that its server didn't send.
package h1resp

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxLineBytes bounds a line. Clients have lower bounds for whole headers.
	maxLineBytes = 128 << 10
	// maxSizeDigits bounds the size of a chunk, with leading zeros.
	maxSizeDigits = 16
	// maxQuotedBytes bounds the part of a line that an error quotes. Errors are logged, and the bytes may be
	// those of a body.
	maxQuotedBytes = 24

	protocolPrefix = "HTTP/"
	versionPrefix  = "HTTP/1."
	statusDigits   = 3
	minFinal       = 200
	codingChunked  = "chunked"

	fieldLength   = "Content-Length"
	fieldEncoding = "Transfer-Encoding"
)

// The parts of a response.
const (
	idle part = iota
	requestLine
	statusLine
	headerLine
	lengthBody
	closeBody
	chunkSize
	chunkData
	chunkEnd
	trailerLine
)

type (
	// Checker checks the responses on one connection, in the order of their requests. The zero Checker
	// is ready to use: it expects none.
	//
	//	var c h1resp.Checker
	//	c.Expect(http.MethodGet)
	//	n, err := c.Check(received)
	Checker struct {
		part   part
		method string
		head   head
		// line has the bytes of a line that isn't complete.
		line []byte
		// left is what is missing of a body or a chunk, in bytes.
		left int64
		// isRequest is set if the messages are requests.
		isRequest bool
	}

	// Error says why bytes are no valid response.
	Error struct {
		Reason string
	}

	part int

	// head is what the head of a response says about its length.
	head struct {
		minor  byte
		status int
		length int64
		// lengthText is the length as it is sent; "" if there is none.
		lengthText string
		// codings counts the fields that name a transfer coding.
		codings int
	}
)

// Error implements error.
func (e *Error) Error() string { return "invalid HTTP response: " + e.Reason }

func invalid(format string, args ...any) error {
	return &Error{Reason: fmt.Sprintf(format, args...)}
}

// quote returns the start of s for an error.
func quote(s string) string {
	if len(s) > maxQuotedBytes {
		return strconv.Quote(s[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(s)
}

// Expect says that a request with the given method is about to be sent. The response to the previous
// one is complete.
func (c *Checker) Expect(method string) {
	c.part, c.method, c.head, c.line = statusLine, method, head{}, nil
}

// EndsWithConnection reports whether the body of the response that is being received has neither a length nor
// chunks, so that only the end of the connection can tell its end.
func (c *Checker) EndsWithConnection() bool { return c.part == closeBody }

// Check checks the next bytes and returns how many of them a client may read. The error is an *Error if the
// byte behind them completes a line that isn't valid, and io.EOF if no response is due.
func (c *Checker) Check(p []byte) (n int, err error) {
	for n < len(p) {
		rest := p[n:]
		switch c.part {
		case idle:
			return n, io.EOF
		case closeBody:
			return len(p), nil
		case lengthBody, chunkData:
			taken := min(c.left, int64(len(rest)))
			c.left -= taken
			n += int(taken)
			if c.left == 0 {
				c.endData()
			}
		default:
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				c.line = append(c.line, rest...)
				if len(c.line) > maxLineBytes {
					return n, invalid("a line has more than %d bytes", maxLineBytes)
				}
				return len(p), nil
			}
			line := string(c.line) + string(rest[:end])
			c.line = nil
			if err := c.endLine(line); err != nil {
				return n + end, err
			}
			n += end + 1
		}
	}
	return n, nil
}

// endData is called at the end of a body with a length or of the data of a chunk.
func (c *Checker) endData() {
	if c.part == chunkData {
		c.part = chunkEnd
		return
	}
	c.part = idle
}

// endLine checks a complete line, without its line feed.
func (c *Checker) endLine(line string) error {
	text, hasCR := strings.CutSuffix(line, "\r")
	// RFC 9112 lets recipients accept a line feed alone in the head only.
	if isHead := c.part == requestLine || c.part == statusLine || c.part == headerLine; !hasCR && !isHead {
		return invalid("a line of a chunked body ends without a carriage return")
	}
	switch {
	case c.part == requestLine:
		c.head = head{minor: '1', status: http.StatusOK} // the framing of a response with this status
		c.part = headerLine
	case c.part == statusLine:
		return c.endStatusLine(text)
	case c.part == chunkSize:
		return c.endChunkSize(text)
	case c.part == chunkEnd && text != "":
		return invalid("a chunk is longer than its size")
	case c.part == chunkEnd:
		c.part = chunkSize
	case text != "":
		return c.endField(text)
	case c.part == trailerLine:
		c.part = idle
	default:
		return c.endHead()
	}
	return nil
}

func (c *Checker) endStatusLine(text string) error {
	if !strings.HasPrefix(text, protocolPrefix) {
		return invalid("no status line")
	}
	rest, ok := strings.CutPrefix(text, versionPrefix)
	if !ok || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return invalid("status line %s", quote(text))
	}
	minor := rest[0]
	// The blank behind the code may be missing if there is no reason, as RFC 9112 lets recipients accept.
	code, reason, _ := strings.Cut(rest[2:], " ")
	if len(code) != statusDigits || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return invalid("status code in %s", quote(text))
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return invalid("reason in %s", quote(text))
	}
	status, err := strconv.Atoi(code)
	if err != nil {
		return invalid("status code in %s", quote(text))
	}
	if status == http.StatusSwitchingProtocols {
		return invalid("status %d, and no request asks for another protocol", status)
	}
	c.head = head{minor: minor, status: status}
	c.part = headerLine
	return nil
}

// endField checks a field of the header or the trailer. A folded field isn't accepted: RFC 9112 leaves the
// choice to proxies.
func (c *Checker) endField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	switch i := strings.IndexFunc(name, isNoTokenRune); {
	case line[0] == ' ' || line[0] == '\t':
		return invalid("a folded field")
	case !ok || name == "":
		return invalid("a field without a name")
	case i >= 0:
		return invalid("byte %#02x in a field name, behind %s", name[i], quote(name[:i]))
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return invalid("value of field %s", quote(name))
	}
	text := strings.Trim(value, " \t")
	isLength, isCoding := strings.EqualFold(name, fieldLength), strings.EqualFold(name, fieldEncoding)
	switch {
	case c.part == trailerLine && (isLength || isCoding):
		return invalid("field %s in the trailer", quote(name))
	case isLength:
		length, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return invalid("length %s", quote(text))
		}
		if c.head.lengthText != "" && c.head.lengthText != text {
			return invalid("lengths %s and %s", quote(c.head.lengthText), quote(text))
		}
		c.head.length, c.head.lengthText = int64(length), text
	case isCoding:
		if !strings.EqualFold(text, codingChunked) {
			return invalid("transfer coding %s", quote(text))
		}
		c.head.codings++
	}
	return nil
}

// endHead checks that the head is consistent and continues with what follows it.
func (c *Checker) endHead() error {
	h := c.head
	hasNoBody := h.status < minFinal || h.status == http.StatusNoContent
	switch {
	case h.codings > 1:
		return invalid("%d transfer codings", h.codings)
	case h.codings > 0 && h.lengthText != "":
		return invalid("both a length and a transfer coding")
	case h.codings > 0 && h.minor == '0':
		return invalid("a transfer coding in HTTP/1.0")
	case hasNoBody && (h.codings > 0 || h.length > 0):
		return invalid("status %d with a body", h.status)
	}
	switch {
	case h.status < minFinal:
		c.part = statusLine
	case hasNoBody, c.method == http.MethodHead, h.status == http.StatusNotModified:
		c.part = idle
	case h.codings > 0:
		c.part = chunkSize
	case h.lengthText == "" && !c.isRequest:
		c.part = closeBody
	case h.length > 0:
		c.part, c.left = lengthBody, h.length
	default:
		c.part = idle
	}
	return nil
}

// endChunkSize checks the size of a chunk and its extensions, of which only the bytes are checked: they
// mean nothing to the length.
func (c *Checker) endChunkSize(text string) error {
	size, extensions, ok := strings.Cut(text, ";")
	if ok {
		size = strings.TrimRight(size, " \t")
	}
	if !httpguts.ValidHeaderFieldValue(extensions) {
		return invalid("a control byte in a chunk extension")
	}
	n, err := strconv.ParseUint(size, 16, 63)
	if err != nil || len(size) > maxSizeDigits {
		return invalid("a chunk size that is no number")
	}
	if n == 0 {
		c.part = trailerLine
		return nil
	}
	c.part, c.left = chunkData, int64(n)
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isNoTokenRune(r rune) bool { return !httpguts.IsTokenRune(r) }
