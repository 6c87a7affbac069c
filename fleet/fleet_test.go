package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/wire"
)

// A job passes to another entry, which is lost. The number of the entry that still claims
// the job must not take the place of the greater one.
func TestFenceOnlyGrows(t *testing.T) {
	g := NewWithT(t)
	v := fleet.New()
	holder := func(instance string, fence int64) *wire.EntryState {
		return &wire.EntryState{Instance: instance, Jobs: []*wire.JobState{{Job: "pool/a", Fence: fence}}}
	}
	v.Apply(time.Now(), &wire.MembersResponse{Version: 1, Boot: 1, Whole: true, Entries: []*wire.EntryState{holder("a", 6), holder("b", 7)}})
	g.Expect(v.Fence("pool/a")).To(BeEquivalentTo(7))
	gone := holder("b", 7)
	gone.Gone = true
	v.Apply(time.Now(), &wire.MembersResponse{Version: 2, Boot: 1, Entries: []*wire.EntryState{gone}})
	_, fence := v.Holder("pool/a")
	g.Expect(fence).To(BeEquivalentTo(6))
	g.Expect(v.Fence("pool/a")).To(BeEquivalentTo(7))
	g.Expect(v.Fence("pool/b")).To(BeZero())
}
