package proxy

import "github.com/lavendermux/lavendermux/endpt"

// checkQuarantine returns a *poison.QuarantineError if a request must not be sent now. Internal
// requests are deferred work, which is never quarantined (package poison).
func (f *Forwarder) checkQuarantine(r Request) error {
	if r.Internal {
		return nil
	}
	return f.guard.Check(r.fp)
}

// isSuspect reports whether endpoints have crashed under a request, which may be the cause.
func (f *Forwarder) isSuspect(r Request) bool { return !r.Internal && f.guard.IsSuspect(r.fp) }

// beginGuarded counts a send to e, or returns a *poison.QuarantineError. endGuarded counts its end.
func (f *Forwarder) beginGuarded(r Request, e endpt.Endpoint) error {
	if r.Internal {
		f.guard.BeginDeferred(r.fp, e)
		return nil
	}
	return f.guard.Begin(r.fp, e)
}

func (f *Forwarder) endGuarded(r Request, e endpt.Endpoint) {
	if r.Internal {
		f.guard.EndDeferred(r.fp, e)
		return
	}
	f.guard.End(r.fp, e)
}
