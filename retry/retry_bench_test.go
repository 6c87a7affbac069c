package retry

import (
	"math/rand/v2"
	"testing"
)

func BenchmarkRetry(b *testing.B) {
	budget := New(WithShare(1))
	rng := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		budget.Sent()
		budget.Retry(errUnknown, true, 1, rng)
	}
}
