//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploads is the number of requesters that send a body of uploadBytes at the same time, less than
	// the limit of the manifest.
	defaultUploads = 4
	uploadBytes    = 30 << 20
	uploadBudget   = 10 * time.Second
	// others is the number of requesters that wait for the answer to a short request meanwhile.
	others     = 8
	othersWork = 6 * time.Second
	// mostLost is the bound of the rule.
	mostLost = 3
	// restartDelay is the delay before a process that ended is started again.
	restartDelay = 500 * time.Millisecond
	// memoryPoll is how often the platform looks at the memory of a process.
	memoryPoll = 10 * time.Millisecond
)

// playBodies has a few requesters send long bodies within the limits of the manifest, and the
// platform end the front if it uses more than its memory.
func playBodies(s *site, trouble bool) (bool, error) {
	n := defaultUploads
	if v, err := strconv.Atoi(os.Getenv("UPLOADS")); err == nil {
		n = v
	}
	front := s.nodes[0]
	done := make(chan struct{})
	var peak atomic.Int64
	var watch sync.WaitGroup
	watch.Go(func() { s.limitMemory(front, &peak, done) })
	var wg sync.WaitGroup
	short := make([]result, others)
	for i := range others {
		wg.Go(func() {
			c := newChannel(front)
			defer c.close()
			c.send(plainPrefix+"hello", fmt.Sprintf("hello-%d", i), task{}, nil, time.Second) // the channel is a kept one
			short[i] = c.send(streamPrefix+"tell", fmt.Sprintf("short-%d", i), task{Events: 60, GapMs: 100}, nil, othersWork+8*time.Second)
		})
	}
	time.Sleep(time.Second)
	long := make([]result, n)
	if trouble {
		body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
		for i := range n {
			wg.Go(func() {
				c := newChannel(front)
				defer c.close()
				long[i] = c.send(plainPrefix+"upload", fmt.Sprintf("long-%d", i), task{WorkMs: 25}, body, uploadBudget)
			})
		}
	}
	wg.Wait()
	close(done)
	watch.Wait()
	s.rec.printf("%s: %d MB of memory at most, its limit is %d", front.name, peak.Load()>>20, frontMemoryMb)
	if trouble {
		for _, r := range long {
			s.rec.printf("%s: %d bytes sent; status %d, error %v, took %.2f s", r.id, uploadBytes, r.status, r.err, r.over.Sub(r.sent).Seconds())
		}
	}
	lost := 0
	for _, r := range short {
		run := s.run(r.id)
		isLost := r.err != nil && run.runs > 0
		if isLost {
			lost++
		}
		s.rec.printf("%s: status %d, %d events, error %v, took %.2f s; worker runs %d, dropped by its channel %t; lost %t", r.id, r.status, r.events(), r.err,
			r.over.Sub(r.sent).Seconds(), run.runs, !run.dropped.IsZero(), isLost)
	}
	s.rec.printf("%d requests lost, %d are allowed", lost, mostLost)
	return lost > mostLost, nil
}

// limitMemory is the platform: it kills a process that uses more than its memory. Pages of the
// program file don't count.
func (s *site) limitMemory(n *node, peak *atomic.Int64, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryPoll):
		}
		used := anonymousMemory(n.pid())
		peak.Store(max(peak.Load(), used))
		if used > frontMemoryMb<<20 {
			s.rec.printf("%s uses %d MB of memory, more than its %d: the platform kills it", n.name, used>>20, frontMemoryMb)
			n.signal(syscall.SIGKILL)
			n.wait(5 * time.Second)
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				s.rec.printf("%s not started again: %v", n.name, err)
				return
			}
		}
	}
}

// anonymousMemory returns the memory of a process in bytes, without that of files; 0 if it has ended.
func anonymousMemory(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}
