package poison

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lavendermux/lavendermux/finger"
)

// full returns a table at its bounds, also of answered requests.
func full() *Table {
	t := New()
	for n := range defaultMost {
		for k := range strikesMost {
			t.strike(of(fmt.Sprint("deadly", n)), fmt.Sprintf("i-%010x/1767225600000", n*strikesMost+k), start)
		}
	}
	for n := range 1 << 15 {
		t.Answered(of(fmt.Sprint(n)), start)
	}
	return t
}

// BenchmarkSend is what the table costs a request that is sent once and answered.
func BenchmarkSend(b *testing.B) {
	t := full()
	p := of("honest")
	for b.Loop() {
		_ = t.Begin(p, "w/1", start)
		t.Answered(p, start)
		t.End(p, "w/1")
	}
}

// BenchmarkHeld is what it costs to refuse one.
func BenchmarkHeld(b *testing.B) {
	t := full()
	p := of("deadly7")
	for b.Loop() {
		_ = t.Held(p, start)
	}
}

// BenchmarkMemory reports the bytes of a table at its bounds.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := full()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		_ = t.Strikes(finger.Print{})
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
}
