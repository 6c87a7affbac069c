package h1resp

// Request follows the bytes of the requests that are sent on a connection, to tell whether the last one is
// complete. The zero Request is ready to use.
type Request struct {
	checker Checker
	// isUnknown is set if the framing of the request isn't understood.
	isUnknown bool
}

// Begin says that a request is about to be sent.
func (r *Request) Begin() {
	r.checker = Checker{part: requestLine, isRequest: true}
	r.isUnknown = false
}

// Sent says that the next bytes were sent.
func (r *Request) Sent(p []byte) {
	if _, err := r.checker.Check(p); err != nil {
		r.isUnknown = true
	}
}

// IsComplete reports whether the whole request was sent.
func (r *Request) IsComplete() bool { return r.checker.part == idle && !r.isUnknown }
