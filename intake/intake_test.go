package intake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
)

var copies = []batch.Replica{{Instance: "d1", Disk: "1"}, {Instance: "d2", Disk: "2"}, {Instance: "d3", Disk: "3"}}

func logged(id string) batch.Result { return batch.Result{ID: id, Text: id} }

// The store has some entries of the log, and the write of the record has no answer. Appends
// must carry all entries from the earlier count on: a successor that finds the earlier count
// would otherwise miss what was accepted since.
func TestAppendsFromTheConfirmedCount(t *testing.T) {
	g, a := NewWithT(t), New(3, 17, copies)
	g.Expect(a.Append(logged("x"))).To(Succeed())
	g.Expect(a.Append(logged("y"))).To(Succeed())
	g.Expect(a.Synced(18)).To(Equal([]string{"x"}))
	g.Expect(a.Synced(18)).To(BeEmpty(), "accepted once")
	a.MarkStored("x")
	g.Expect(a.StoredCount()).To(Equal(18))
	from, stored, entries := a.Unsynced()
	g.Expect([]int{from, stored, len(entries)}).To(Equal([]int{18, 17, 2}))
	a.Saved(18, copies)
	from, stored, entries = a.Unsynced()
	g.Expect([]int{from, stored, len(entries)}).To(Equal([]int{18, 18, 1}))
	g.Expect(a.Synced(19)).To(Equal([]string{"y"}))
	next, ok := a.NextToStore()
	g.Expect(ok).To(BeTrue())
	g.Expect(next).To(Equal("y"))
}

// The replicas are replaced, and the write of the record has no answer. Nothing may be
// appended: a successor may seal either list.
func TestNothingIsAppendedWhileReplicasMove(t *testing.T) {
	g, a := NewWithT(t), New(1, 0, copies)
	g.Expect(a.BeginMove()).To(BeTrue())
	var refused *RefusedError
	g.Expect(errors.As(a.Append(logged("x")), &refused)).To(BeTrue())
	a.Saved(0, copies[:2])
	g.Expect(a.Append(logged("x"))).To(Succeed())
	g.Expect(a.BeginMove()).To(BeFalse(), "entries are only on the replicas that the record names")
	g.Expect(New(1, 0, nil).CanAppend()).NotTo(Succeed())
}

// A long outage. The log must not take more memory than its bound.
func TestLogIsBounded(t *testing.T) {
	g, a := NewWithT(t), New(1, 0, copies)
	n := 0
	for ; n < 100 && a.CanAppend() == nil; n++ {
		g.Expect(a.Append(batch.Result{ID: fmt.Sprint(n), Text: strings.Repeat("x", 1<<20)})).To(Succeed())
	}
	g.Expect(n).To(Equal(8))
	a.MarkStored("0")
	a.Saved(a.StoredCount(), copies)
	var refused *RefusedError
	g.Expect(errors.As(a.Append(logged(strings.Repeat("x", 1<<20+1))), &refused)).To(BeTrue())
	g.Expect(errors.As(New(1, 0, copies).Append(logged(strings.Repeat("x", maxEntryBytes+1))), &refused)).To(BeTrue(), "no append could carry it")
	g.Expect(a.Append(batch.Result{ID: "8", Text: strings.Repeat("x", 1<<20)})).To(Succeed())
	a.MarkStored("1")
	a.Saved(a.StoredCount(), copies)
	g.Expect(a.CanAppend()).To(Succeed())
}

// A submission is read back from the log by a successor. Its customer, which the JSON of a
// submission leaves out, must come with it, or another customer could read the batch.
func TestEntryIsReadBack(t *testing.T) {
	g := NewWithT(t)
	e := Entry{Submission: &batch.Submission{ID: "b", Customer: "c", Model: "m", Items: []batch.Item{{ID: "i", Body: []byte("x")}}}, Replicas: copies, Epoch: 4, Age: 20 * time.Millisecond}
	r, err := e.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	back, err := Decode(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(e))
	_, err = Decode(batch.Result{ID: "b", Text: "x"})
	g.Expect(err).To(HaveOccurred())
}

// IDs are kept for some time, and those of log entries until the store has them: a caller
// that submits one again must find its batch.
func TestKnownIDsExpire(t *testing.T) {
	g, a, now := NewWithT(t), New(1, 0, copies), time.Now()
	g.Expect(a.Append(logged("x"))).To(Succeed())
	a.Learn("x", "c", now)
	a.Learn("y", "c", now)
	a.Learn("open", "c", now)
	forget := func(now time.Time, open string) {
		a.Forget(now.Add(-time.Minute), now, func(id string) bool { return id == open })
	}
	isKnown := func(id string) bool { _, ok := a.CustomerOf(id); return ok }
	forget(now.Add(2*time.Minute), "open")
	g.Expect(isKnown("x")).To(BeTrue())
	g.Expect(isKnown("y")).To(BeFalse())
	g.Expect(isKnown("open")).To(BeTrue(), "open batches are kept for longer than ended ones")
	forget(now.Add(2*time.Minute+openMargin), "")
	g.Expect(isKnown("open")).To(BeTrue(), "its owner may be lost")
	forget(now.Add(3*time.Minute), "")
	g.Expect(isKnown("open")).To(BeFalse())
}
