package caps

import (
	"testing"

	. "github.com/onsi/gomega"
)

// What all clients and endpoints may occupy together is less than a process has, on the smallest
// machines in service and larger ones; and the body of the largest request fits in.
func TestLimitsAddUp(t *testing.T) {
	g := NewWithT(t)
	const largestBody = 32 << 20
	for _, memoryMb := range []int64{112, 128, 134, 160, 216, 284, 536} {
		for _, descriptors := range []int{700, 3075, 4100, 8200} {
			for _, servesCallers := range []bool{false, true} {
				l := Of(memoryMb<<20, descriptors, servesCallers)
				g.Expect(l.Memory()).To(BeNumerically("<", memoryMb<<20), "%d MB: %+v", memoryMb, l)
				g.Expect(l.Connections()).To(BeNumerically("<=", (descriptors-reservedDescriptors)*2/3))
				g.Expect(l.Bodies).To(BeNumerically(">=", largestBody))
				g.Expect(l.Bodies + l.Answers + l.Texts).To(BeNumerically("<=", l.Payload))
				g.Expect(l.PeerConnections).To(BeNumerically(">", 0))
				g.Expect(l.CallerConnections > 0).To(Equal(servesCallers))
				g.Expect(l.CallerRequests > 0).To(Equal(servesCallers))
			}
		}
	}
}

// From the minimum on the limits add up, and a little below they don't.
func TestMinMemory(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Of(MinMemory, 4100, true).Memory()).To(BeNumerically("<", MinMemory))
	g.Expect(Of(MinMemory-2<<20, 4100, true).Memory()).To(BeNumerically(">", MinMemory-2<<20))
}

// A process whose settings name no limits has those of the design.
func TestUnknownLimits(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Of(0, 0, true).Memory()).To(BeNumerically("<", DefaultMemory))
	g.Expect(Of(0, 0, true)).To(Equal(Of(DefaultMemory, systemDescriptors(), true)))
}
