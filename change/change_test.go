package change_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/change"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/record"
)

const (
	seeds      = 200
	writers    = 4
	changes    = 4
	maxLatency = 20 * time.Millisecond
	// settle is longer than any late write takes to arrive.
	settle = 10 * time.Second
	key    = "resources/pool/p"
)

type (
	// fakeStore is a key-value service that counts how often each change took
	// effect.
	fakeStore struct {
		mu       sync.Mutex
		revision int64
		recs     map[string]record.Record
		effects  map[string]int
	}

	// link is one writer's connection to it, on which answers get lost, before
	// and after the effect, and writes arrive late.
	link struct {
		*fakeStore
		rng  *rand.Rand
		loss float64
	}
)

func newStore() *fakeStore {
	return &fakeStore{recs: make(map[string]record.Record), effects: make(map[string]int)}
}

func (l *link) silent() error {
	if l.loss > 0 {
		time.Sleep(time.Duration(l.rng.Int64N(int64(maxLatency))))
	}
	if l.rng.Float64() < l.loss {
		return &fault.UnavailableError{Peer: "fake", Cause: context.DeadlineExceeded}
	}
	return nil
}

func (l *link) Get(_ context.Context, key string) (record.Record, error) {
	if err := l.silent(); err != nil {
		return record.Record{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rec, ok := l.recs[key]
	if !ok {
		return rec, &fault.NotFoundError{What: key}
	}
	return rec, nil
}

func (l *link) List(context.Context, string) ([]record.Record, int64, error) {
	var all []record.Record
	for _, rec := range l.recs {
		all = append(all, rec)
	}
	return all, l.revision, l.silent()
}

func (l *link) Put(_ context.Context, key string, value []byte, expect, _ int64) (int64, error) {
	if err := l.silent(); err != nil {
		if l.loss < 1 && l.rng.IntN(2) == 0 {
			delay := time.Duration(l.rng.Int64N(int64(settle / 2)))
			go func() {
				time.Sleep(delay)
				_, _ = l.put(key, value, expect)
			}()
		}
		return 0, err
	}
	revision, err := l.put(key, value, expect)
	if lost := l.silent(); lost != nil {
		return 0, lost
	}
	return revision, err
}

func (l *link) Delete(_ context.Context, key string, expect int64) error {
	if l.recs[key].Revision != expect {
		return &fault.ConflictError{Key: key}
	}
	delete(l.recs, key)
	return nil
}

func (s *fakeStore) put(key string, value []byte, expect int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recs[key].Revision != expect {
		return 0, &fault.ConflictError{Key: key, Revision: s.recs[key].Revision}
	}
	s.revision++
	s.recs[key] = record.Record{Key: key, Value: value, Revision: s.revision}
	var o object.Object
	if json.Unmarshal(value, &o) == nil {
		s.effects[o.Operation]++
	}
	return s.revision, nil
}

func (s *fakeStore) seen() (object.Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var o object.Object
	_ = json.Unmarshal(s.recs[key].Value, &o)
	return o, s.recs[key].Revision
}

func (s *fakeStore) link(seed uint64, loss float64) *link {
	return &link{fakeStore: s, rng: rand.New(rand.NewPCG(seed, seed)), loss: loss}
}

func poolNamed(operation string, revision int64) object.Object {
	return object.Object{
		APIVersion: object.APIVersion, Kind: object.KindPool, Name: "p", Revision: revision, Operation: operation,
		Spec: json.RawMessage(fmt.Sprintf(`{"service":%q}`, operation)),
	}
}

// Four operators create, replace and delete the same pool at once while the
// key-value service loses a third to two thirds of all answers, before and after
// the effect, and some writes arrive seconds late. An operator whose change is
// made twice, or is called "not run" and then appears, can trust no answer.
func TestEveryAnswerIsTrue(t *testing.T) {
	g := NewWithT(t)
	outcomes := make(map[string]int)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			said := race(t.Context(), s, seed)
			time.Sleep(settle)
			s.mu.Lock()
			defer s.mu.Unlock()
			for operation, what := range said {
				outcomes[what]++
				n := s.effects[operation]
				g.Expect(n).To(BeNumerically("<=", 1), "seed %d, %s", seed, operation)
				if what == "accepted" {
					g.Expect(n).To(Equal(1), "seed %d, %s", seed, operation)
				}
				if what == "refused" {
					g.Expect(n).To(Equal(0), "seed %d, %s", seed, operation)
				}
			}
		})
	}
	for _, what := range []string{"accepted", "refused", "unknown"} {
		g.Expect(outcomes[what]).To(BeNumerically(">", seeds/10), what)
	}
}

// race lets all writers make their changes at once and returns what each was
// told, by operation.
func race(ctx context.Context, s *fakeStore, seed uint64) map[string]string {
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		said = make(map[string]string)
	)
	loss := []float64{0.33, 0.67}[seed%2]
	for writer := range uint64(writers) {
		wg.Go(func() {
			l := s.link(seed*writers+writer, loss)
			for i := range changes {
				operation := fmt.Sprintf("op-%d-%d", writer, i)
				what := ask(ctx, l, operation)
				mu.Lock()
				said[operation] = what
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return said
}

// ask makes one random change on what it sees, again under the same operation
// while the outcome is unknown, up to three times.
func ask(ctx context.Context, l *link, operation string) string {
	w := change.New(l)
	o, base := l.seen()
	remove := l.rng.IntN(3) == 0
	if o.Deleted && !remove {
		base = 0
	}
	unknown := false
	for range 3 {
		var err error
		if remove {
			_, err = w.Delete(ctx, object.KindPool, "p", base, operation)
		} else {
			_, err = w.Put(ctx, poolNamed(operation, base))
		}
		var open *fault.UnknownOutcomeError
		var silent *fault.NotRunError
		switch {
		case err == nil:
			return "accepted"
		case errors.As(err, &open):
			unknown = true
		case errors.As(err, &silent) && unknown:
		default:
			return "refused"
		}
	}
	return "unknown"
}

// The service goes down before an operator's change. Nothing was sent, so the
// refusal may promise that the change was not made.
func TestNothingSentIsNotRun(t *testing.T) {
	g := NewWithT(t)
	_, err := change.New(newStore().link(1, 1)).Put(t.Context(), poolNamed("a", 0))
	var refused *fault.NotRunError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
}

// An operator's tool asks again, long after its change was made, overtaken and
// deleted by others. Without the list of earlier changes it would be told
// "conflict", or would create the pool anew.
func TestOldCopyOfAChange(t *testing.T) {
	g := NewWithT(t)
	w := change.New(newStore().link(1, 0))
	first, err := w.Put(t.Context(), poolNamed("a", 0))
	g.Expect(err).NotTo(HaveOccurred())
	second, err := w.Put(t.Context(), poolNamed("b", first.Revision))
	g.Expect(err).NotTo(HaveOccurred())
	again, err := w.Put(t.Context(), poolNamed("a", 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Operation).To(Equal("b"))
	gone, err := w.Delete(t.Context(), object.KindPool, "p", second.Revision, "c")
	g.Expect(err).NotTo(HaveOccurred())
	twice, err := w.Delete(t.Context(), object.KindPool, "p", second.Revision, "c")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(twice.Revision).To(Equal(gone.Revision))
	again, err = w.Put(t.Context(), poolNamed("a", 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Deleted).To(BeTrue())
	_, err = w.Delete(t.Context(), object.KindPool, "p", gone.Revision, "d")
	var missing *fault.NotFoundError
	g.Expect(errors.As(err, &missing)).To(BeTrue())
	_, err = w.Put(t.Context(), poolNamed("e", second.Revision))
	var conflict *fault.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	_, err = w.Put(t.Context(), poolNamed("c", 0))
	g.Expect(err).To(MatchError(ContainSubstring("names an earlier change with another content")))
}

func TestSweepKeepsWhatIsRecent(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newStore().link(1, 0)
	w := change.New(s, change.WithClock(func() time.Time { return now }))
	first, err := w.Put(t.Context(), poolNamed("a", 0))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = w.Delete(t.Context(), object.KindPool, "p", first.Revision, "b")
	g.Expect(err).NotTo(HaveOccurred())
	now = now.Add(6 * 24 * time.Hour)
	n, err := w.Sweep(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(0))
	now = now.Add(2 * 24 * time.Hour)
	n, err = w.Sweep(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(1))
	g.Expect(s.recs).To(BeEmpty())
}
