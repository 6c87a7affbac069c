package conns

import (
	"io"
	"net/http"
	"slices"
)

// identity is the transfer encoding of a body that is sent as it is.
const identity = "identity"

// emptyBody is a body without content that, unlike http.NoBody, counts as a body.
type emptyBody struct{}

var (
	// repeatableMethods are those whose requests http.Transport repeats, and repeatKeys the header
	// fields that have it repeat requests with any other method.
	repeatableMethods = []string{"", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
	repeatKeys        = map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"}
)

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// SendOnce has http.Transport send a request once at most. By itself a transport sends a request
// again when a kept connection ends before the first byte of the response, though the server may
// have run it: if it has no body, or one with GetBody, and its method or an idempotency key says
// that it may be repeated. Whether a request may be repeated, how often and in which time is for
// the caller to decide. The content of the request and its framing stay the same.
func SendOnce(r *http.Request) {
	r.GetBody = nil
	if r.Body != nil && r.Body != http.NoBody {
		return
	}
	if slices.Contains(repeatableMethods, r.Method) {
		// A body that can't be read again rules a repeat out. With this encoding neither a
		// length nor chunks are sent for it.
		r.Body, r.TransferEncoding = emptyBody{}, []string{identity}
		return
	}
	// Of other methods an empty body has a length of 0, which http.Transport only sends without a
	// body. It looks for the fields under their canonical names; servers ignore the case.
	for canonical, name := range repeatKeys {
		if values, ok := r.Header[canonical]; ok {
			delete(r.Header, canonical)
			r.Header[name] = values
		}
	}
}
