package subset

import "testing"

// One entry of 350 before 700 endpoints, at each change of the membership.
func BenchmarkPick(b *testing.B) {
	entries, endpoints := names("entry", 350), names("worker", 700)
	s := New(16)
	b.ReportAllocs()
	for b.Loop() {
		s.Pick("entry-7", entries, endpoints)
	}
}
