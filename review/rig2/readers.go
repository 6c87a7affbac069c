//go:build review

package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowReaders is the number of requesters of the sheet of pwh-isd (18, 17 and 14).
	slowReaders = 49
	readersFor  = 15 * time.Second
)

// playReaders has requesters read whole batch submissions slowly from one front.
func playReaders(s *site, trouble bool) (bool, error) {
	fatText.Store(true)
	done := make(chan struct{})
	peaks := make([]atomic.Int64, fronts)
	var watch sync.WaitGroup
	for i := range fronts {
		watch.Go(func() { s.limitMemory(s.nodes[i], &peaks[i], done) })
	}
	broken, err := s.runLot("lot-1")
	var wg sync.WaitGroup
	var bytes atomic.Int64
	if trouble && err == nil {
		for range slowReaders {
			wg.Go(func() { bytes.Add(readSlowly(s.nodes[0], "lot-1")) })
		}
	}
	wg.Wait()
	close(done)
	watch.Wait()
	killed := false
	for i := range fronts {
		s.rec.printf("%s: %d MB of memory at most, its limit is %d", s.nodes[i].name, peaks[i].Load()>>20, frontMemoryMb)
		killed = killed || peaks[i].Load()>>20 >= frontMemoryMb
	}
	s.rec.printf("%d slow readers have read %d bytes", slowReaders, bytes.Load())
	return broken || killed, err
}

func readSlowly(n *node, id string) (total int64) {
	c, err := net.Dial("tcp", n.ip+":"+frontPort)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4096) // a smaller window only
	if _, err := fmt.Fprintf(c, "GET /lavendermux/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: read\r\n\r\n", id, host); err != nil {
		return 0
	}
	buf := make([]byte, 512)
	for start := time.Now(); time.Since(start) < readersFor; time.Sleep(100 * time.Millisecond) {
		n, err := c.Read(buf)
		total += int64(n)
		if err != nil {
			return total
		}
	}
	return total
}

// fatText makes the events of items some 280 bytes long, as on the sheet.
var fatText atomic.Bool

func pad() string {
	if fatText.Load() {
		return strings.Repeat(" word", 56)
	}
	return ""
}
