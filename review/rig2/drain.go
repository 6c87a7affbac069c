//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	drainBudget  = 19 * time.Second
	drainGap     = 100 * time.Millisecond
	drainStreams = 8
)

// playDrain stops a front as planned while requesters read streams from it that their workers end
// well before the last sixth of graceS.
func playDrain(s *site, trouble bool) (bool, error) {
	front := s.nodes[0]
	term := time.Now().Add(4 * time.Second)
	results := make([]result, drainStreams)
	ends := make([]time.Duration, drainStreams)
	var wg sync.WaitGroup
	for i := range drainStreams {
		// Each begins before the signal and makes its last event 6.15 to 6.5 s after it.
		lead := time.Duration(1+i%4) * 500 * time.Millisecond
		ends[i] = 6150*time.Millisecond + time.Duration(i)*50*time.Millisecond
		wg.Go(func() {
			c := newChannel(front)
			defer c.close()
			c.send(plainPrefix+"hello", fmt.Sprintf("hello-%d", i), task{}, nil, time.Second) // the channel is a kept one
			time.Sleep(time.Until(term.Add(-lead)))
			n := int((lead + ends[i]) / drainGap)
			results[i] = c.send(streamPrefix+"tell", fmt.Sprintf("stream-%d", i), task{Events: n, GapMs: int(drainGap.Milliseconds())}, nil, drainBudget)
		})
	}
	time.Sleep(time.Until(term))
	if trouble {
		s.rec.printf("SIGTERM to %s; graceS is %d", front.name, graceS)
		front.signal(syscall.SIGTERM)
		go func() {
			if !front.wait(graceS * time.Second) {
				s.rec.printf("SIGKILL to %s", front.name)
				front.signal(syscall.SIGKILL)
				return
			}
			s.rec.printf("%s has ended %.2f s after the signal", front.name, time.Since(term).Seconds())
		}()
	}
	wg.Wait()
	broken := false
	lastSixth := term.Add(graceS * time.Second * 5 / 6)
	for i, r := range results {
		run := s.run(r.id)
		due := run.begin.Add(time.Duration(int((time.Duration(1+i%4)*500*time.Millisecond+ends[i])/drainGap)) * drainGap)
		stopped := run.end
		if stopped.IsZero() {
			stopped = run.dropped
		}
		lost := r.err != nil && run.runs > 0 && stopped.Before(lastSixth) && due.Before(lastSixth)
		broken = broken || lost
		s.rec.printf("%s: sent %.2f s before the signal; status %d, %d events, over %.2f s after it, error %v; worker runs %d, its last event due %.2f s after the signal, sent %t; lost %t",
			r.id, term.Sub(r.sent).Seconds(), r.status, r.events(), r.over.Sub(term).Seconds(), r.err, run.runs, due.Sub(term).Seconds(), !run.end.IsZero(), lost)
	}
	return broken, nil
}
