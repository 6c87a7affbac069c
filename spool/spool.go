// Package spool provides an asynchronous log writer that never blocks: it drops and
// counts the lines that are over a bound.
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
	// defaultQueueSize bounds the queued lines: about a megabyte.
	defaultQueueSize = 4096
	// batchDelay is how long lines are collected before a write, so that a busy process
	// makes one system call for many lines.
	batchDelay = 20 * time.Millisecond
	// maxWriteBytes bounds the size of one write.
	maxWriteBytes = 64 << 10
	// defaultRate is the sustained rate limit of one message, in lines per second. An
	// entry that owns the batches of a trainer writes 65 lines per second in all.
	defaultRate = 200
	// defaultBurst is the burst of one message, in lines: several steps of 240 items
	// each can end together.
	defaultBurst = 2000
	// maxBuckets bounds the messages with a rate limit of their own; a program has
	// about 80.
	maxBuckets = 500
)

var messageKey = []byte("msg=")

type (
	// Writer is an io.Writer that queues lines for a background goroutine to write. It
	// drops lines if the queue is full or their message is over its rate limit. See
	// New.
	Writer struct {
		w       io.Writer
		queue   chan []byte
		dropped atomic.Int64

		rate, burst float64
		now         func() time.Time
		mu          sync.Mutex
		buckets     map[string]*tokenBucket
	}

	// tokenBucket is the rate limiter of the lines with one message.
	tokenBucket struct {
		tokens     float64
		refilledAt time.Time
		// dropped counts the dropped lines, reported those of them that are reported in
		// the log.
		dropped, reported int64
	}

	// Option configures a Writer. See New.
	Option func(*Writer)
)

// New returns a Writer that writes to w, and starts its goroutine.
//
//	s := spool.New(os.Stdout)
//	logger := logs.New(s)
func New(w io.Writer, opts ...Option) *Writer {
	s := &Writer{
		w: w, queue: make(chan []byte, defaultQueueSize), rate: defaultRate, burst: defaultBurst,
		now: time.Now, buckets: make(map[string]*tokenBucket),
	}
	for _, opt := range opts {
		opt(s)
	}
	go s.run()
	return s
}

// WithQueueSize sets the size of the queue in lines. The default is 4096.
func WithQueueSize(n int) Option {
	return func(s *Writer) { s.queue = make(chan []byte, n) }
}

// WithRateLimit sets the rate limit of one message: rate lines per second with a burst of
// burst lines. The default is 200 and 2000.
func WithRateLimit(rate, burst float64) Option {
	return func(s *Writer) { s.rate, s.burst = rate, burst }
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Writer) Write(p []byte) (int, error) {
	if !s.takeToken(messageOf(p)) {
		s.dropped.Add(1)
		return len(p), nil
	}
	select {
	case s.queue <- bytes.Clone(p):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// messageOf returns the value of the line's msg field, or "" if there is none.
func messageOf(line []byte) string {
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

// takeToken reports whether the rate limit of the message allows one more line. One
// message that is logged thousands of times a second must not crowd out the rare ones
// that show the cause.
func (s *Writer) takeToken(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	b, ok := s.buckets[message]
	if !ok {
		if len(s.buckets) >= maxBuckets {
			return true // bounded by the queue
		}
		b = &tokenBucket{tokens: s.burst, refilledAt: now}
		s.buckets[message] = b
	}
	b.tokens = min(s.burst, b.tokens+s.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return false
	}
	b.tokens--
	return true
}

// Dropped returns the number of dropped lines.
func (s *Writer) Dropped() int64 { return s.dropped.Load() }

func (s *Writer) run() {
	var reported int64
	for line := range s.queue {
		buf := bytes.NewBuffer(line)
		time.Sleep(batchDelay)
		s.drainQueue(buf)
		if dropped := s.dropped.Load(); dropped != reported {
			fmt.Fprintf(buf, "time=%s level=warn msg=\"Log lines dropped.\" lines=%d all=%d\n", s.timestamp(), dropped-reported, dropped)
			reported = dropped
			s.reportOverBudget(buf)
		}
		// A failed write can't be logged: this is the log.
		_, _ = s.w.Write(buf.Bytes())
	}
}

// timestamp is the time of a line that the writer itself adds, without which readers of logs
// would skip it.
func (s *Writer) timestamp() string { return s.now().UTC().Format(time.RFC3339Nano) }

// reportOverBudget adds a line to buf for each message that was over its rate limit
// since the last report.
func (s *Writer) reportOverBudget(buf *bytes.Buffer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, message := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[message]
		if b.dropped > b.reported {
			fmt.Fprintf(buf, "time=%s level=warn msg=\"Log lines over the rate limit.\" kind=%q lines=%d all=%d\n", s.timestamp(), message,
				b.dropped-b.reported, b.dropped)
			b.reported = b.dropped
		}
	}
}

func (s *Writer) drainQueue(buf *bytes.Buffer) {
	for buf.Len() < maxWriteBytes {
		select {
		case line := <-s.queue:
			buf.Write(line)
		default:
			return
		}
	}
}
