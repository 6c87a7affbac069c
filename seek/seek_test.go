package seek_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/seek"
	"github.com/lavendermux/lavendermux/wire"
)

type counted struct {
	reads int
	err   error
}

func (c *counted) Get(context.Context, string) (record.Record, error) {
	c.reads++
	return record.Record{Value: []byte(`{"holder":"entry-1","address":"10.0.0.1:7"}`), Created: 9}, c.err
}

// A holder has just changed and the membership names nobody yet, while many
// trainers' pulls arrive at once. If each read the key-value service, a change of
// holder would cost it hundreds of reads.
func TestFindReadsRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := &counted{}
		view := fleet.New()
		f := seek.New(view, kv)
		for range 100 {
			instance, address, fence, err := f.Find(t.Context(), "deliver/tutor")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(instance + address).To(Equal("entry-110.0.0.1:7"))
			g.Expect(fence).To(Equal(int64(9)))
		}
		g.Expect(kv.reads).To(Equal(1))
		time.Sleep(5 * time.Second)
		kv.err = &fault.UnavailableError{Peer: "kv", Cause: errors.New("down")}
		for range 100 {
			_, _, _, err := f.Find(t.Context(), "deliver/tutor")
			var notRun *fault.NotRunError
			g.Expect(errors.As(err, &notRun)).To(BeTrue())
		}
		g.Expect(kv.reads).To(Equal(2))
		view.Apply(time.Now(), &wire.MembersResponse{Whole: true, Version: 1, Entries: []*wire.EntryState{
			{Instance: "a", Jobs: []*wire.JobState{{Job: "deliver/tutor", Fence: 9}}},
			{Instance: "b", Address: "10.0.0.2:7", Jobs: []*wire.JobState{{Job: "deliver/tutor", Fence: 12}}},
		}})
		instance, _, fence, err := f.Find(t.Context(), "deliver/tutor")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(instance).To(Equal("b"))
		g.Expect(fence).To(Equal(int64(12)))
		g.Expect(kv.reads).To(Equal(2))
	})
}
