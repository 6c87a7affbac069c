package proxy

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/meter"
)

// BenchmarkQueue measures what the queue adds to a request: one for which there is capacity,
// among few endpoints and in a whole fleet, and one that is refused by a full queue.
func BenchmarkQueue(b *testing.B) {
	ctx := context.Background()
	for _, others := range []int{0, 700} {
		set := epset.New(func() {})
		for i := range others {
			set.Put(endpt.Endpoint{ID: fmt.Sprint("engine-", i), Service: "lm", Slots: 8, StartedMs: 1})
		}
		for i := range 4 {
			set.Put(desk(i))
		}
		for _, queued := range []bool{false, true} {
			var opts []Option
			if queued {
				opts = append(opts, WithQueue(0))
			}
			f := New(set, nil, "", logs.New(io.Discard), meter.New(), opts...)
			b.Run(fmt.Sprintf("queued=%v,others=%d", queued, others), func(b *testing.B) {
				b.ReportAllocs()
				r := deskRequest("r")
				for b.Loop() {
					a := f.newAdmission(&r, time.Now().Add(testBudget))
					e, g, _ := a.choose(ctx, nil, false)
					end := f.begin(e)
					end()
					g.end(ctx, nil, true)
				}
			})
		}
	}
	b.Run("refused", func(b *testing.B) {
		set := epset.New(func() {})
		set.Put(desk(0))
		f := New(set, nil, "", logs.New(io.Discard), meter.New(), WithQueue(0))
		r := deskRequest("r")
		for range 12 + maxWaiting {
			go f.newAdmission(&r, time.Now().Add(time.Hour)).choose(ctx, nil, false)
		}
		for f.queueOf("desk").gate.Waiting() < maxWaiting {
			time.Sleep(time.Millisecond)
		}
		b.ReportAllocs()
		for b.Loop() {
			f.newAdmission(&r, time.Now().Add(time.Hour)).choose(ctx, nil, false)
		}
	})
}
