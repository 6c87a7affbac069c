// Package spool writes log lines without ever making their writer wait.
package spool

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultLines bounds the lines that wait: about a megabyte.
	defaultLines = 4096
	// gather is how long lines are collected, so that a busy process makes one
	// system call for many of them.
	gather = 20 * time.Millisecond
	// writeMost bounds one write.
	writeMost = 64 << 10
	// defaultRate is how many lines of one message are written in a second, over
	// time: an entry that holds the steps of a trainer writes 65 of all messages.
	defaultRate = 200
	// defaultBurst is how many are written at once: several steps of 240 items each
	// end together.
	defaultBurst = 2000
	// kindsMost bounds the messages that are told apart; a program has about 80.
	kindsMost = 500
)

var messageKey = []byte("msg=")

type (
	// Spool is an io.Writer that keeps lines until its own goroutine has written
	// them, and leaves out and counts those that find no room. See New.
	Spool struct {
		w     io.Writer
		lines chan []byte
		lost  atomic.Int64

		rate, burst float64
		now         func() time.Time
		mu          sync.Mutex
		kinds       map[string]*kind
	}

	// kind is the budget of the lines with one message.
	kind struct {
		left float64
		at   time.Time
		// out counts the lines that were left out, told those of them that the log
		// has told.
		out, told int64
	}

	// Option changes a Spool as New makes it.
	Option func(*Spool)
)

// New returns a spool on w and starts to write.
//
//	s := spool.New(os.Stdout)
//	logger := logs.New(s)
func New(w io.Writer, opts ...Option) *Spool {
	s := &Spool{
		w: w, lines: make(chan []byte, defaultLines), rate: defaultRate, burst: defaultBurst,
		now: time.Now, kinds: make(map[string]*kind),
	}
	for _, opt := range opts {
		opt(s)
	}
	go s.run()
	return s
}

// WithLines bounds the lines that wait. The default is 4096.
func WithLines(n int) Option {
	return func(s *Spool) { s.lines = make(chan []byte, n) }
}

// WithBudget bounds the lines of one message: rate a second over time, and burst at
// once. The default is 200 and 2000.
func WithBudget(rate, burst float64) Option {
	return func(s *Spool) { s.rate, s.burst = rate, burst }
}

// Write implements io.Writer; it never waits and never fails.
func (s *Spool) Write(p []byte) (int, error) {
	if !s.spend(message(p)) {
		s.lost.Add(1)
		return len(p), nil
	}
	select {
	case s.lines <- bytes.Clone(p):
	default:
		s.lost.Add(1)
	}
	return len(p), nil
}

// message is the text that all lines of one kind have, or "" if there is none.
func message(line []byte) string {
	i := bytes.Index(line, messageKey)
	if i < 0 {
		return ""
	}
	rest := line[i+len(messageKey):]
	end := byte(' ')
	if len(rest) > 0 && rest[0] == '"' {
		rest, end = rest[1:], '"'
	}
	if j := bytes.IndexByte(rest, end); j >= 0 {
		rest = rest[:j]
	}
	return string(rest)
}

// spend takes a line from the budget of its message. One message that comes thousands
// of times a second must not push out the rare ones that tell why it comes.
func (s *Spool) spend(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	k, ok := s.kinds[message]
	if !ok {
		if len(s.kinds) >= kindsMost {
			return true // bounded by the lines that wait
		}
		k = &kind{left: s.burst, at: now}
		s.kinds[message] = k
	}
	k.left = min(s.burst, k.left+s.rate*now.Sub(k.at).Seconds())
	k.at = now
	if k.left < 1 {
		k.out++
		return false
	}
	k.left--
	return true
}

// Lost returns how many lines were left out.
func (s *Spool) Lost() int64 { return s.lost.Load() }

func (s *Spool) run() {
	var told int64
	for line := range s.lines {
		buf := bytes.NewBuffer(line)
		time.Sleep(gather)
		s.fill(buf)
		if lost := s.lost.Load(); lost != told {
			fmt.Fprintf(buf, "level=warn msg=\"Log lines left out.\" lines=%d all=%d\n", lost-told, lost)
			told = lost
			s.tellKinds(buf)
		}
		// There is nowhere to tell that the log itself can't be written.
		_, _ = s.w.Write(buf.Bytes())
	}
}

// tellKinds adds a line for each message that was over its budget.
func (s *Spool) tellKinds(buf *bytes.Buffer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, message := range slices.Sorted(maps.Keys(s.kinds)) {
		k := s.kinds[message]
		if k.out > k.told {
			fmt.Fprintf(buf, "level=warn msg=\"Log lines over their budget.\" kind=%q lines=%d all=%d\n", message, k.out-k.told, k.out)
			k.told = k.out
		}
	}
}

func (s *Spool) fill(buf *bytes.Buffer) {
	for buf.Len() < writeMost {
		select {
		case line := <-s.lines:
			buf.Write(line)
		default:
			return
		}
	}
}
