package bstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
)

// The time of day jumps by seconds on some machines, and back. An instance that kept
// it with a submission would have its successor give items up early, or keep them for
// too long. The same submission at another time of day must therefore make the same
// records.
func TestRecordsHoldNoTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), context.Background()
		var records []map[string]string
		for range 2 {
			m := newMemory()
			s := New(m)
			k, _, err := s.Create(ctx, submission(), "one", nil, time.Now())
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * time.Second)
			g.Expect(s.Apply(ctx, Change{Kept: &k, Results: results("i1"), Progress: []batch.Progress{{ID: "i2", Texts: []string{"x"}}}})).To(Succeed())
			written := make(map[string]string)
			for key, it := range m.items {
				written[key] = string(it.Value)
			}
			records = append(records, written)
			time.Sleep(time.Hour)
		}
		g.Expect(records[1]).To(Equal(records[0]))
	})
}

// A submission changes hands twice. Its age is that of all its holders together, and
// only the time between the last write of one and the first of the next is missing.
func TestAgeGoesOnAtTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx, s := NewWithT(t), context.Background(), New(newMemory())
		k, _, err := s.Create(ctx, submission(), "one", nil, time.Now().Add(-time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		for _, next := range []string{"two", "three"} {
			time.Sleep(3 * time.Second)
			g.Expect(s.Apply(ctx, Change{Kept: &k, Results: results("i of " + next)})).To(Succeed())
			time.Sleep(time.Second)
			k, err = s.Load(ctx, "b")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.TakeOver(ctx, &k, next)).To(Succeed())
		}
		g.Expect(k.Age(time.Now())).To(Equal(7 * time.Second))
	})
}
