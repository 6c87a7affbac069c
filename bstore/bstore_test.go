package bstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/kvst"
)

// memory is a store in memory whose writes can take effect without an answer, or
// be refused.
type memory struct {
	mu       sync.Mutex
	items    map[string]kvst.Item
	revision int64
	lose     int
	refuse   int
	commits  int
}

func newMemory() *memory { return &memory{items: make(map[string]kvst.Item)} }

func (m *memory) Get(_ context.Context, key string) (kvst.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[key], nil
}

func (m *memory) List(_ context.Context, prefix string) (items []kvst.Item, revision int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range 1000 {
		for key, it := range m.items {
			if strings.HasPrefix(key, prefix) && strings.HasSuffix(key, fmt.Sprintf("/%06d", n)) {
				items = append(items, it)
			}
		}
	}
	return items, m.revision, nil
}

func (m *memory) Watch(context.Context, string, int64, time.Duration) (kvst.Changes, error) {
	return kvst.Changes{}, errors.New("not used")
}

func (m *memory) Commit(_ context.Context, t kvst.Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	if m.refuse > 0 {
		m.refuse--
		return 0, &kvst.RefusedError{Status: 503}
	}
	for key, revision := range t.Expect {
		if m.items[key].Revision != revision {
			return 0, &kvst.ConflictError{Now: []kvst.Item{m.items[key]}}
		}
	}
	m.revision++
	for _, p := range t.Puts {
		m.items[p.Key] = kvst.Item{Key: p.Key, Value: p.Value, Revision: m.revision}
	}
	for _, key := range t.Remove {
		delete(m.items, key)
	}
	if m.lose > 0 {
		m.lose--
		return 0, &kvst.UnknownError{Cause: errors.New("no answer")}
	}
	return m.revision, nil
}

func submission() *batch.Submission {
	return &batch.Submission{ID: "b", Host: "h", Target: "/b/", Items: []batch.Item{{ID: "i1", Body: []byte("x")}, {ID: "i2"}}}
}

func results(ids ...string) (out []batch.Result) {
	for _, id := range ids {
		out = append(out, batch.Result{ID: id, State: batch.Completed, Text: "text of " + id})
	}
	return out
}

// The same submission arrives at two instances. It is accepted once, and the
// second learns who holds it.
func TestAcceptedOnce(t *testing.T) {
	g, ctx, s := NewWithT(t), context.Background(), New(newMemory())
	_, created, err := s.Create(ctx, submission(), "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(created).To(BeTrue())
	k, created, err := s.Create(ctx, submission(), "two", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(created).To(BeFalse())
	g.Expect(k.Holder).To(Equal("one"))
	sub, err := s.Submission(ctx, k)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sub.Items[0].Body).To(Equal([]byte("x")))
}

// Every write takes effect and loses its answer. The repeated write meets its own
// and must take it for done: results must not stand twice, and the holder must not
// believe that it was overtaken.
func TestAnswersLost(t *testing.T) {
	g, ctx, m := NewWithT(t), context.Background(), newMemory()
	s := New(m)
	m.lose = 1
	k, created, err := s.Create(ctx, submission(), "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(created).To(BeTrue())
	for _, id := range []string{"i1", "i2"} {
		m.lose = 1
		g.Expect(s.Apply(ctx, Change{Kept: &k, Results: results(id)})).To(Succeed())
	}
	m.lose = 1
	g.Expect(s.TakeOver(ctx, &k, "two")).To(Succeed())
	now, err := s.Load(ctx, "b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(now.Head).To(Equal(k.Head))
	g.Expect(now.ID).To(Equal(k.ID))
	g.Expect(now.Revision).To(Equal(k.Revision))
	all, err := s.Results(ctx, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(Equal(results("i1", "i2")))
}

// A holder is paused, another one takes over and lists a result, and the first
// wakes up with a result for the same position. Its write must fail, or the
// position would hold another result than a trainer has read.
func TestPausedHolder(t *testing.T) {
	g, ctx, s := NewWithT(t), context.Background(), New(newMemory())
	old, _, err := s.Create(ctx, submission(), "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	young := old
	g.Expect(s.TakeOver(ctx, &young, "two")).To(Succeed())
	g.Expect(s.Apply(ctx, Change{Kept: &young, Results: results("i2")})).To(Succeed())
	err = s.Apply(ctx, Change{Kept: &old, Results: results("i1")})
	var taken *OvertakenError
	g.Expect(errors.As(err, &taken)).To(BeTrue())
	g.Expect(taken.Now.Holder).To(Equal("two"))
	all, err := s.Results(ctx, young)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(Equal(results("i2")))
}

// The store refuses a submission. Nothing of it may be there, since the caller is
// told that none of it will run.
func TestRefused(t *testing.T) {
	g, ctx, m := NewWithT(t), context.Background(), newMemory()
	m.refuse = 1
	_, _, err := New(m).Create(ctx, submission(), "one", nil, time.Now())
	var refused *kvst.RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(m.items).To(BeEmpty())
}

// Values are larger than the store takes. They are split, come back whole and in
// order, and go away together.
func TestLargeValues(t *testing.T) {
	g, ctx, m := NewWithT(t), context.Background(), newMemory()
	s := New(m, WithValueBytes(100))
	sub := submission()
	sub.Items[0].Body = []byte(strings.Repeat("y", 800))
	k, _, err := s.Create(ctx, sub, "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Parts).To(BeNumerically(">", 5))
	back, err := s.Submission(ctx, k)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(sub))
	progress := []batch.Progress{{ID: "i1", Texts: []string{"a", "b"}, Last: 2}, {ID: "i2", Texts: []string{strings.Repeat("z", 90)}, Last: 1}}
	g.Expect(s.Apply(ctx, Change{Kept: &k, Results: results("i1", "i2"), Progress: progress})).To(Succeed())
	g.Expect(k.Chunks).To(Equal(2))
	kept, err := s.Progress(ctx, k)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kept).To(Equal(progress))
	g.Expect(s.Remove(ctx, k)).To(Succeed())
	g.Expect(m.items).To(BeEmpty())
	sub.Items[0].Body = []byte(strings.Repeat("y", 8000))
	_, _, err = s.Create(ctx, sub, "one", nil, time.Now())
	var large *SizeError
	g.Expect(errors.As(err, &large)).To(BeTrue())
}
