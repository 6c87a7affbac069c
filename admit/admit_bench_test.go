package admit

import (
	"fmt"
	"testing"
	"time"
)

// A door with so many callers, 100 pieces of work a second.
func BenchmarkExcessAndCharge(b *testing.B) {
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			a := New()
			for i := range n {
				a.Charge(of(fmt.Sprintf("caller-%d", i)), time.Hour, start)
			}
			now := start
			w := of("caller-7")
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				a.Excess(w, now)
				a.Charge(w, time.Second, now)
			}
		})
	}
}
