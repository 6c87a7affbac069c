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

// fakeStore is an in-memory metadata store that can lose the answer of a write that took
// effect, or refuse a write.
type fakeStore struct {
	mu          sync.Mutex
	items       map[string]kvst.Item
	revision    int64
	lostAnswers int
	refusals    int
	commits     int
	// refuseLater has all writes after the first refused.
	refuseLater bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: make(map[string]kvst.Item)} }

func (m *fakeStore) Get(_ context.Context, key string) (kvst.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[key], nil
}

func (m *fakeStore) List(_ context.Context, prefix string) (items []kvst.Item, revision int64, err error) {
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

func (m *fakeStore) Watch(context.Context, string, int64, time.Duration) (kvst.Changes, error) {
	return kvst.Changes{}, errors.New("not used")
}

func (m *fakeStore) Commit(_ context.Context, t kvst.Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	if m.refusals > 0 || m.refuseLater && m.commits > 1 {
		m.refusals--
		return 0, &kvst.RefusedError{Status: 503}
	}
	var current []kvst.Item
	isMet := true
	for key, revision := range t.Expect {
		it, ok := m.items[key]
		isMet = isMet && it.Revision == revision
		if ok {
			current = append(current, it)
		}
	}
	if !isMet {
		return 0, &kvst.ConflictError{Current: current}
	}
	m.revision++
	for _, p := range t.Puts {
		m.items[p.Key] = kvst.Item{Key: p.Key, Value: p.Value, Revision: m.revision}
	}
	for _, key := range t.Remove {
		delete(m.items, key)
	}
	if m.lostAnswers > 0 {
		m.lostAnswers--
		return 0, &kvst.UnknownOutcomeError{Cause: errors.New("no answer")}
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

// The same submission arrives at two instances. It is accepted once, and the second
// instance gets the owner.
func TestAcceptedOnce(t *testing.T) {
	g, ctx, s := NewWithT(t), context.Background(), New(newFakeStore())
	_, created, err := s.Create(ctx, submission(), "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(created).To(BeTrue())
	rec, created, err := s.Create(ctx, submission(), "two", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(created).To(BeFalse())
	g.Expect(rec.Owner).To(Equal("one"))
	sub, err := s.Submission(ctx, rec)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sub.Items[0].Body).To(Equal([]byte("x")))
}

// Every write takes effect, but its answer is lost. The repeated write conflicts with the
// first one and must count as successful: results must not be duplicated, and the owner
// must not conclude that it was replaced.
func TestAnswersLost(t *testing.T) {
	g, ctx, m := NewWithT(t), context.Background(), newFakeStore()
	s := New(m)
	m.lostAnswers = 1
	rec, created, err := s.Create(ctx, submission(), "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(created).To(BeTrue())
	for _, id := range []string{"i1", "i2"} {
		m.lostAnswers = 1
		g.Expect(s.Apply(ctx, Change{Record: &rec, Results: results(id)})).To(Succeed())
	}
	m.lostAnswers = 1
	g.Expect(s.TakeOver(ctx, &rec, "two")).To(Succeed())
	now, err := s.Load(ctx, "b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(now.Head).To(Equal(rec.Head))
	g.Expect(now.ID).To(Equal(rec.ID))
	g.Expect(now.Revision).To(Equal(rec.Revision))
	all, err := s.Results(ctx, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(Equal(results("i1", "i2")))
}

// An owner is paused, another instance takes over and writes a result, and the first one
// resumes with a result for the same position. Its write must fail, or the position would
// hold a different result from the one that a trainer has read.
func TestPausedHolder(t *testing.T) {
	g, ctx, s := NewWithT(t), context.Background(), New(newFakeStore())
	paused, _, err := s.Create(ctx, submission(), "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	current := paused
	g.Expect(s.TakeOver(ctx, &current, "two")).To(Succeed())
	g.Expect(s.Apply(ctx, Change{Record: &current, Results: results("i2")})).To(Succeed())
	err = s.Apply(ctx, Change{Record: &paused, Results: results("i1")})
	var fenced *FencedError
	g.Expect(errors.As(err, &fenced)).To(BeTrue())
	g.Expect(fenced.Now.Owner).To(Equal("two"))
	all, err := s.Results(ctx, current)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(Equal(results("i2")))
}

// The store refuses a submission. No part of it may be stored, since the caller is told
// that none of it will run.
func TestRefused(t *testing.T) {
	g, ctx, m := NewWithT(t), context.Background(), newFakeStore()
	m.refusals = 1
	_, _, err := New(m).Create(ctx, submission(), "one", nil, time.Now())
	var refused *kvst.RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(m.items).To(BeEmpty())
}

// Values larger than the store accepts are split, read back complete and in order, and
// removed together.
func TestLargeValues(t *testing.T) {
	g, ctx, m := NewWithT(t), context.Background(), newFakeStore()
	s := New(m, WithMaxValueBytes(100))
	sub := submission()
	sub.Items[0].Body = []byte(strings.Repeat("y", 800))
	rec, _, err := s.Create(ctx, sub, "one", nil, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.BodyChunks).To(BeNumerically(">", 5))
	back, err := s.Submission(ctx, rec)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(sub))
	progress := []batch.Progress{{ID: "i1", Texts: []string{"a", "b"}, LastEvent: 2}, {ID: "i2", Texts: []string{strings.Repeat("z", 90)}, LastEvent: 1}}
	g.Expect(s.Apply(ctx, Change{Record: &rec, Results: results("i1", "i2"), Progress: progress})).To(Succeed())
	g.Expect(rec.ResultChunks).To(Equal(2))
	stored, err := s.Progress(ctx, rec)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).To(Equal(progress))
	g.Expect(s.Remove(ctx, rec)).To(Succeed())
	g.Expect(m.items).To(BeEmpty())
	sub.Items[0].Body = []byte(strings.Repeat("y", 8000))
	_, _, err = s.Create(ctx, sub, "one", nil, time.Now())
	var large *SizeError
	g.Expect(errors.As(err, &large)).To(BeTrue())
}
