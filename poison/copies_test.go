package poison

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/reqfp"
)

// Copies of a request that nobody has answered are sent to many endpoints at once. They may be
// in flight at no more than it takes to quarantine it, and an answer to one of them ends that.
func TestUnansweredCopiesAreLimited(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	fp, other := reqfp.Of("", "h", "/a", nil), reqfp.Of("", "h", "/b", nil)
	table := New()
	limited := func(fp reqfp.Fingerprint) bool {
		_, limited := table.CopyLimit(fp, now)
		return limited
	}
	for _, endpoint := range []string{"e1", "e1", "e1", "e2", "e3"} {
		g.Expect(limited(fp)).To(BeFalse())
		g.Expect(table.Begin(fp, endpoint, now)).To(Succeed())
	}
	incarnations, isLimited := table.CopyLimit(fp, now)
	g.Expect(isLimited).To(BeTrue())
	g.Expect(incarnations).To(Equal(map[string]bool{"e1": true, "e2": true, "e3": true}))
	g.Expect(limited(other)).To(BeFalse())
	table.End(fp, "e3")
	g.Expect(limited(fp)).To(BeFalse())
	g.Expect(table.Begin(fp, "e4", now)).To(Succeed())
	g.Expect(limited(fp)).To(BeTrue())
	table.ReportAnswer(fp, now)
	g.Expect(limited(fp)).To(BeFalse())
}
