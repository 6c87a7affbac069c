package matrix

import (
	"testing"

	. "github.com/onsi/gomega"
)

// The holder is killed in the middle of a step, and the entries have disks. What
// it had taken in and finished is on two of them, so the trainer need not submit
// anything again; without the copies it would have to, and finished samples would
// be made anew.
func TestHolderKilledWithDisks(t *testing.T) {
	t.Parallel()
	resubmitted := trainThroughKill(t, size{entries: 3, engines: 3, disks: 3})
	NewWithT(t).Expect(resubmitted).To(BeZero())
}
