package uptime

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The clock only goes forward, and no slower than Go's own: a holder whose clock was slow
// would go on after its time.
func TestNow(t *testing.T) {
	g := NewWithT(t)
	start, began := time.Now(), Now()
	for i := 0; i < 1000; i++ {
		before := Now()
		g.Expect(Now()).To(BeNumerically(">=", before))
	}
	slack := time.Millisecond // the two clocks are read one after the other
	g.Expect(Now() - began + slack).To(BeNumerically(">=", time.Since(start)))
}
