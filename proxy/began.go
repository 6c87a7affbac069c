package proxy

import "sync"

type (
	// usageCounter counts a customer's request once, however often it is sent, from the
	// moment at which an endpoint may have started it.
	usageCounter struct {
		countUsage func() (undo func())

		mu   sync.Mutex
		undo func()
		// started is the number of sends that an endpoint may have started.
		started int
	}

	// sendUsage is one send of the request. Its answer may arrive before the writer
	// reports that the request was sent.
	sendUsage struct {
		counter           *usageCounter
		isSent, isSettled bool
	}
)

// send returns the next send; on a nil usageCounter it counts nothing.
func (c *usageCounter) send() *sendUsage { return &sendUsage{counter: c} }

// sent records that the request was sent completely. Further calls have no effect.
func (s *sendUsage) sent() {
	if s.counter == nil {
		return
	}
	s.counter.mu.Lock()
	defer s.counter.mu.Unlock()
	if s.isSent || s.isSettled {
		return
	}
	s.isSent = true
	s.counter.started++
	if s.counter.started == 1 {
		s.counter.undo = s.counter.countUsage()
	}
}

// notRun records that the endpoint certainly did not run this send. Later calls of sent
// have no effect.
func (s *sendUsage) notRun() {
	if s.counter == nil {
		return
	}
	s.counter.mu.Lock()
	defer s.counter.mu.Unlock()
	if s.isSent && !s.isSettled {
		s.counter.started--
		if s.counter.started == 0 {
			s.counter.undo()
		}
	}
	s.isSettled = true
}
