package subset

import "testing"

// One entry of 350 before 700 endpoints, at each change of the membership.
func BenchmarkPick(b *testing.B) {
	entries, endpoints := numbered("entry", 350), numbered("worker", 700)
	s := New(16)
	b.ReportAllocs()
	for b.Loop() {
		s.Pick("entry-7", entries, endpoints)
	}
}

func BenchmarkNear(b *testing.B) {
	entries, endpoints := fleet(350, 700)
	s := New(16)
	b.ReportAllocs()
	for b.Loop() {
		s.Near("entry-7", entries, endpoints)
	}
}
