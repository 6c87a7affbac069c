//go:build review

package main

import (
	"syscall"
	"time"
)

// frozenFor is how long the store machine stands still, as node_freeze in the site file.
const frozenFor = 3200 * time.Millisecond

// playFrozen has the operator ask to empty a store machine that stands still, and tells whether it is
// reported as emptied before it runs again.
func playFrozen(s *site, trouble bool) (bool, error) {
	n := s.nodes[fronts]
	key := "status/retire/" + n.name
	if trouble {
		s.rec.printf("%s stands still", n.name)
		n.signal(syscall.SIGSTOP)
	}
	start := time.Now()
	time.Sleep(100 * time.Millisecond)
	s.store.Put("op/retire/"+n.name, map[string]any{"rampS": 10})
	last := ""
	for time.Since(start) < frozenFor {
		if raw, ok := s.store.Value(key); ok && string(raw) != last {
			last = string(raw)
			s.rec.printf("%s: %s", key, last)
		}
		time.Sleep(5 * time.Millisecond)
	}
	n.signal(syscall.SIGCONT)
	s.rec.printf("%s runs again", n.name)
	return trouble && last != "", nil
}
