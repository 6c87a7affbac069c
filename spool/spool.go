// Package spool writes log lines without ever making their writer wait.
package spool

import (
	"bytes"
	"fmt"
	"io"
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
)

type (
	// Spool is an io.Writer that keeps lines until its own goroutine has written
	// them, and leaves out and counts those that find no room. See New.
	Spool struct {
		w     io.Writer
		lines chan []byte
		lost  atomic.Int64
	}

	// Option changes a Spool as New makes it.
	Option func(*Spool)
)

// New returns a spool on w and starts to write.
//
//	s := spool.New(os.Stdout)
//	logger := logs.New(s)
func New(w io.Writer, opts ...Option) *Spool {
	s := &Spool{w: w, lines: make(chan []byte, defaultLines)}
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

// Write implements io.Writer; it never waits and never fails.
func (s *Spool) Write(p []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(p):
	default:
		s.lost.Add(1)
	}
	return len(p), nil
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
		}
		// There is nowhere to tell that the log itself can't be written.
		_, _ = s.w.Write(buf.Bytes())
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
