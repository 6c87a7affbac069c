package proxy

import "sync"

type (
	// began counts a request of a customer once, however often it is sent, at the moment
	// at which an endpoint may first have begun it.
	began struct {
		count func() (undo func())

		mu   sync.Mutex
		undo func()
		// running is how many sends may have run.
		running int
	}

	// oneSend is one send of the request. Its answer may come before its writer has said
	// that it was sent.
	oneSend struct {
		of             *began
		isSent, isOver bool
	}
)

// send returns the next send; b may be nil, which counts nothing.
func (b *began) send() *oneSend { return &oneSend{of: b} }

// sent takes that the request was sent whole.
func (s *oneSend) sent() {
	if s.of == nil {
		return
	}
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	if s.isSent || s.isOver {
		return
	}
	s.isSent = true
	s.of.running++
	if s.of.running == 1 {
		s.of.undo = s.of.count()
	}
}

// notRun takes that this send surely hasn't run.
func (s *oneSend) notRun() {
	if s.of == nil {
		return
	}
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	if s.isSent && !s.isOver {
		s.of.running--
		if s.of.running == 0 {
			s.of.undo()
		}
	}
	s.isOver = true
}
