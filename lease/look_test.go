package lease

import (
	"strconv"
	"testing"
	"time"

	"github.com/lavendermux/lavendermux/keyval"
)

// BenchmarkLook is what an entry does each second for one job that another entry
// holds, and for one that looks vacant, as in an outage, among 350 candidates.
func BenchmarkLook(b *testing.B) {
	var candidates []string
	for i := range 350 {
		candidates = append(candidates, "entry-"+strconv.Itoa(i))
	}
	for name, held := range map[string]bool{"held": true, "vacant": false} {
		b.Run(name, func(b *testing.B) {
			k := New(keyval.New("http://127.0.0.1:1"), "deliver/tutor", "entry-7",
				WithCandidates(func() []string { return candidates }),
				WithHolder(func(string) (string, bool) { return "entry-3", held }), WithStep(24*time.Hour))
			for b.Loop() {
				k.isTurn(time.Now())
			}
		})
	}
}
