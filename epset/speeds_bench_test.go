package epset

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/lavendermux/lavendermux/speed"
)

// BenchmarkObserveRequest is the cost of one observation with the registry of a large fleet.
func BenchmarkObserveRequest(b *testing.B) {
	d := newDesks(700)
	for i := 0; b.Loop(); i++ {
		d.ObserveRequest(d.all[i%len(d.all)], 24*time.Millisecond, d.now.Add(time.Duration(i)*time.Microsecond))
	}
	b.ReportMetric(float64(unsafe.Sizeof(speed.Estimator{})), "bytes/endpoint")
}

// BenchmarkJudgeSpeeds is done four times a second.
func BenchmarkJudgeSpeeds(b *testing.B) {
	for _, n := range []int{4, 44, 700} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			d := newDesks(n)
			d.run(20)
			for i := 0; b.Loop(); i++ {
				if i%4 == 0 {
					d.speeds.shared = nil // computed once a second
				}
				d.JudgeSpeeds(d.now)
			}
		})
	}
}
