package shift_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/claim"
	"github.com/lavendermux/lavendermux/move"
	"github.com/lavendermux/lavendermux/shift"
)

var now = time.Unix(1000, 0)

func TestShift(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shift")
}

func claims(live, rollout float64) []claim.Claim {
	return []claim.Claim{
		{Name: "live", Priority: 2, Minimum: 2, Guarantee: 6, Workers: 4, Need: live},
		{Name: "rollout", Priority: 1, Minimum: 3, Guarantee: 4, Workers: 6, Need: rollout},
	}
}

// last plans once a second and returns the moves of the last second.
func last(q []claim.Claim, seconds int) []move.Move {
	p := shift.New()
	var moves []move.Move
	for s := range seconds + 1 {
		moves = p.Plan(q, now.Add(time.Duration(s)*time.Second))
	}
	return moves
}

var _ = Describe("shifting workers", func() {
	It("gives live load what it needs once the shortage has cost as much as a move", func() {
		Expect(last(claims(5, 6), 9)).To(BeEmpty())
		Expect(last(claims(5, 6), 10)).To(Equal([]move.Move{{From: "rollout", To: "live", Count: 2}}))
	})

	// Live load swings around its mean every few seconds. Each swing would move
	// workers there and back, and they would spend their time draining.
	It("does not move for a shortage of some seconds", func() {
		p := shift.New()
		for s := range 300 {
			need := 3.0
			if s%10 < 5 {
				need = 5
			}
			Expect(p.Plan(claims(need, 6), now.Add(time.Duration(s)*time.Second))).To(BeEmpty())
		}
	})

	It("takes back no more than the guarantee while rollouts need theirs", func() {
		Expect(last(claims(40, 40), 10)).To(Equal([]move.Move{{From: "rollout", To: "live", Count: 2}}))
	})

	// Live load is far above all that there is. Without a minimum the trainers of
	// the other side would stand still for as long as it lasts.
	It("leaves everyone the minimum", func() {
		q := claims(40, 40)
		q[0].Guarantee = 100
		Expect(last(q, 10)).To(Equal([]move.Move{{From: "rollout", To: "live", Count: 3}}))
	})

	It("lends what nobody needs, also to the lower priority", func() {
		Expect(last(claims(1, 9), 10)).To(Equal([]move.Move{{From: "live", To: "rollout", Count: 2}}))
	})

	It("does not count a pause of its holder as a shortage", func() {
		p := shift.New(shift.WithCost(11 * time.Second))
		p.Plan(claims(5, 6), now)
		Expect(p.Plan(claims(5, 6), now.Add(time.Hour))).To(BeEmpty())
	})
})

func BenchmarkPlan(b *testing.B) {
	var q []claim.Claim
	for i := range 8 {
		q = append(q, claim.Claim{
			Name: string(rune('a' + i)), Priority: i, Minimum: 5, Guarantee: 60, Workers: 87, Need: float64(i * 25),
		})
	}
	p := shift.New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Plan(q, now.Add(time.Duration(i)*time.Second))
	}
}
