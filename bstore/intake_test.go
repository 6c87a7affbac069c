package bstore

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/kvst"
)

// acquire makes holder the acceptor of the model of submission().
func acquire(g *WithT, s *Store, holder string) Intake {
	in, err := s.LoadIntake(context.Background(), "")
	g.Expect(err).NotTo(HaveOccurred())
	next := in
	next.Holder, next.Epoch = holder, in.Epoch+1
	g.Expect(s.SaveIntake(context.Background(), in, &next)).To(Succeed())
	return next
}

func newRecord(owner string, epoch int64) *Record {
	return &Record{ID: "b", AcceptedAt: time.Now(), Head: batch.Head{Owner: owner, Epoch: epoch}}
}

// A create of an earlier acceptor, and one of an entry that knows of none, arrive after a
// successor has acquired the model. They must fail: the successor has listed the batches
// that exist, and would accept the same ID again.
func TestCreatesAreFenced(t *testing.T) {
	g, ctx, s := NewWithT(t), context.Background(), New(newFakeStore())
	first := acquire(g, s, "one")
	second := acquire(g, s, "two")
	var other *IntakeError
	err := s.CreateFenced(ctx, first, newRecord("one", 1), submission(), nil)
	g.Expect(errors.As(err, &other)).To(BeTrue())
	g.Expect(other.Now).To(Equal(second))
	_, _, err = s.Create(ctx, submission(), "three", nil, time.Now())
	g.Expect(errors.As(err, &other)).To(BeTrue())
	rec := newRecord("two", 3)
	g.Expect(s.CreateFenced(ctx, second, rec, submission(), results("i2"))).To(Succeed())
	loaded, err := s.Load(ctx, "b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded.Revision).To(Equal(rec.Revision))
	kept, err := s.Results(ctx, loaded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kept).To(Equal(results("i2")))
}

// The create of a submission takes effect without an answer, and the acceptor writes its
// record before it repeats the create. It must find its own batch, whatever the revision,
// and another instance must be told of the owner.
func TestOwnLateCreateIsFound(t *testing.T) {
	g, ctx, s := NewWithT(t), context.Background(), New(newFakeStore())
	in := acquire(g, s, "one")
	first := newRecord("one", 1)
	g.Expect(s.CreateFenced(ctx, in, first, submission(), nil)).To(Succeed())
	next := in
	next.Stored = 1
	g.Expect(s.SaveIntake(ctx, in, &next)).To(Succeed())
	again := newRecord("one", 1)
	g.Expect(s.CreateFenced(ctx, in, again, submission(), nil)).To(Succeed())
	g.Expect(again.Revision).To(Equal(first.Revision))
	var fenced *FencedError
	g.Expect(errors.As(s.CreateFenced(ctx, next, newRecord("two", 1), submission(), nil), &fenced)).To(BeTrue())
	g.Expect(fenced.Now.Owner).To(Equal("one"))
}

// The answer to a write of the record is lost, or another instance has acquired the model.
// The writer must be able to tell these apart.
func TestRecordWrittenOnce(t *testing.T) {
	g, ctx, kv := NewWithT(t), context.Background(), newFakeStore()
	s := New(kv)
	kv.lostAnswers = 1
	in := acquire(g, s, "one")
	g.Expect(in.Revision).To(BeEquivalentTo(1))
	acquire(g, s, "two")
	next := in
	next.Stored = 4
	var other *IntakeError
	g.Expect(errors.As(s.SaveIntake(ctx, in, &next), &other)).To(BeTrue())
	g.Expect(other.Now.Holder).To(Equal("two"))
	kv.items[IntakePrefix] = kvst.Item{Key: IntakePrefix, Value: []byte("{"), Revision: 9}
	var unreadable *DecodeError
	_, err := s.LoadIntake(ctx, "")
	g.Expect(errors.As(err, &unreadable)).To(BeTrue(), "only a record that doesn't exist counts as none")
}

// A create gets no answer, and the store then refuses its repeats. The create may have taken
// effect, so that it must not be reported as refused: the submission would run although its
// trainer was told that it doesn't.
func TestRefusalAfterNoAnswer(t *testing.T) {
	g, kv := NewWithT(t), newFakeStore()
	ctx, cancel := context.WithTimeout(context.Background(), 3*commitRetryDelay)
	defer cancel()
	kv.lostAnswers = 1
	kv.refuseLater = true
	_, _, err := New(kv).Create(ctx, submission(), "one", nil, time.Now())
	var refused *kvst.RefusedError
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.As(err, &refused)).To(BeFalse())
}
