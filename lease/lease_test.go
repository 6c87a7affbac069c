package lease_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/lease"
	"github.com/lavendermux/lavendermux/sims/simkv"
)

const (
	job  = "deliver/tutor"
	term = 15 * time.Second
	// takeOver is within what a job whose holder died has another one: the term,
	// the second candidate's turn and a renewal interval with its jitter.
	takeOver = 2 * term
)

var errCut = errors.New("connection refused")

type (
	// line connects one entry to the service, and can be cut or made to lose the
	// answer of the next request of a method.
	line struct {
		kv   *simkv.Server
		mu   sync.Mutex
		cut  bool
		lose string
	}

	// bench is a service with some entries that compete for one job.
	bench struct {
		kv      *simkv.Server
		lines   []*line
		keepers []*lease.Keeper
		stops   []func()
		// blind makes the membership say nothing, as when it lags.
		blind bool
	}
)

func (l *line) set(change func(*line)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *line) RoundTrip(req *http.Request) (*http.Response, error) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut {
		return nil, errCut
	}
	req = req.Clone(req.Context())
	if req.Body == nil {
		req.Body = http.NoBody
	}
	rec := httptest.NewRecorder()
	if served(l.kv, rec, req) != nil {
		return nil, errCut
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.lose == req.Method {
		l.lose = ""
		return nil, errCut
	}
	return rec.Result(), nil
}

// served returns what the handler panicked with: the stand-in's way to end a
// request without an answer.
func served(h http.Handler, w http.ResponseWriter, r *http.Request) (dropped any) {
	defer func() { dropped = recover() }()
	h.ServeHTTP(w, r)
	return nil
}

func newBench(n int, blind bool) *bench {
	b := &bench{kv: simkv.New(), blind: blind}
	ids := []string{}
	for i := range n {
		ids = append(ids, fmt.Sprintf("entry-%d", i))
	}
	for i, id := range ids {
		l := &line{kv: b.kv}
		client := keyval.New("http://kv", keyval.WithHTTP(&http.Client{Transport: l}))
		b.lines = append(b.lines, l)
		b.keepers = append(b.keepers, lease.New(client, job, id,
			lease.WithTerm(term), lease.WithSeed(uint64(i)), lease.WithLogger(log.New(io.Discard)),
			lease.WithCandidates(func() []string { return ids }),
			lease.WithHolder(func(string) (string, bool) { return b.spread(ids) })))
	}
	for _, k := range b.keepers {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			k.Run(ctx)
			close(done)
		}()
		b.stops = append(b.stops, func() {
			cancel()
			<-done
		})
	}
	return b
}

// spread is what the membership would say: whoever surely holds the job.
func (b *bench) spread(ids []string) (string, bool) {
	for i, k := range b.keepers {
		if b.blind {
			break
		}
		if _, held := k.Held(); held {
			return ids[i], true
		}
	}
	return "", false
}

func (b *bench) stopAll() {
	for _, stop := range b.stops {
		stop()
	}
}

// holder returns the index of the keeper that holds the job, and its fencing
// number. It fails when two do.
func (b *bench) holder(g *WithT) (int, int64) {
	at, number := -1, int64(0)
	for i, k := range b.keepers {
		if fence, ok := k.Held(); ok {
			g.Expect(at).To(Equal(-1), "two hold the job")
			at, number = i, fence
		}
	}
	return at, number
}

// await waits until some keeper holds the job.
func (b *bench) await(g *WithT, limit time.Duration) (int, int64) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		synctest.Wait()
		if at, fence := b.holder(g); at >= 0 {
			return at, fence
		}
	}
	g.Expect(limit).To(BeZero(), "nobody holds the job in time")
	return -1, 0
}

func run(t *testing.T, n int, test func(g *WithT, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(n, false)
		defer b.stopAll()
		test(NewWithT(t), b)
	})
}

func TestOneHolderThatHandsBack(t *testing.T) {
	run(t, 5, func(g *WithT, b *bench) {
		first, fence := b.await(g, time.Second)
		time.Sleep(time.Minute)
		synctest.Wait()
		at, same := b.holder(g)
		g.Expect(at).To(Equal(first))
		g.Expect(same).To(Equal(fence))
		b.stops[first]()
		_, ok := b.keepers[first].Held()
		g.Expect(ok).To(BeFalse())
		// Handed back, the job does not wait for the term.
		next, greater := b.await(g, 8*time.Second)
		g.Expect(next).NotTo(Equal(first))
		g.Expect(greater).To(BeNumerically(">", fence))
	})
}

// The write that takes the job has taken effect when its answer is lost. If the
// entry took that for a failure, the job would stand without a holder for a
// whole term although its key names one.
func TestLostAnswerIsReadBack(t *testing.T) {
	run(t, 1, func(g *WithT, b *bench) {
		b.lines[0].set(func(l *line) { l.lose = http.MethodPut })
		_, fence := b.await(g, 3*time.Second)
		g.Expect(fence).To(BeNumerically(">", 0))
		time.Sleep(time.Minute)
		_, same := b.holder(g)
		g.Expect(same).To(Equal(fence))
	})
}

// A holder is cut off from the service. Its lease lapses there, and another
// entry takes the job; the old holder must have stopped claiming it before, and
// must not claim it when it is back.
func TestHolderThatIsCutOff(t *testing.T) {
	run(t, 3, func(g *WithT, b *bench) {
		old, fence := b.await(g, time.Second)
		begin := time.Now()
		b.lines[old].set(func(l *line) { l.cut = true })
		for {
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			if at, _ := b.holder(g); at == -1 {
				break
			}
		}
		g.Expect(time.Since(begin)).To(BeNumerically("<=", term*8/10))
		_, doubt := b.keepers[old].InDoubt()
		g.Expect(doubt).To(BeTrue())
		_, greater := b.await(g, takeOver)
		g.Expect(greater).To(BeNumerically(">", fence))
		b.lines[old].set(func(l *line) { l.cut = false })
		time.Sleep(10 * time.Second)
		synctest.Wait()
		_, held := b.keepers[old].Held()
		_, doubt = b.keepers[old].InDoubt()
		g.Expect(held || doubt).To(BeFalse())
	})
}

// The service ends a lease early, as it does after a fail-over that lost it. The
// holder learns it at its next renewal; until then two claim the job, which is
// what the fencing numbers are for.
func TestLeaseThatLapsesEarly(t *testing.T) {
	run(t, 2, func(g *WithT, b *bench) {
		_, fence := b.await(g, time.Second)
		b.kv.LapseAll()
		time.Sleep(term)
		synctest.Wait()
		_, greater := b.holder(g)
		g.Expect(greater).To(BeNumerically(">", fence))
	})
}

// An operator removes the key of a job whose holder is cut off for a moment, and
// another entry takes the job. The old holder's lease still lives, so that its
// next renewal succeeds; if that were enough, two would hold the job.
func TestKeyThatWasRemoved(t *testing.T) {
	run(t, 2, func(g *WithT, b *bench) {
		old, fence := b.await(g, time.Second)
		time.Sleep(term / 2)
		b.lines[old].set(func(l *line) { l.cut = true })
		for _, held := b.keepers[old].Held(); held; _, held = b.keepers[old].Held() {
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
		}
		c := keyval.New("http://kv", keyval.WithHTTP(&http.Client{Transport: &line{kv: b.kv}}))
		rec, err := c.Get(context.Background(), lease.Prefix+job)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Delete(context.Background(), rec.Key, rec.Revision)).To(Succeed())
		g.Expect(c.Renew(context.Background(), rec.Lease)).To(Succeed())
		_, greater := b.await(g, takeOver)
		g.Expect(greater).To(BeNumerically(">", fence))
		g.Expect(c.Renew(context.Background(), rec.Lease)).To(Succeed())
		b.lines[old].set(func(l *line) { l.cut = false })
		time.Sleep(term)
		synctest.Wait()
		_, same := b.holder(g)
		g.Expect(same).To(Equal(greater))
	})
}

// The service is silent for ten minutes. The holder says that it is in doubt,
// nobody else claims the job, and the calls in the minute after the outage stay
// few although 40 entries could compete.
func TestOutage(t *testing.T) {
	run(t, 40, func(g *WithT, b *bench) {
		old, _ := b.await(g, time.Second)
		b.kv.SetDown(true)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		_, doubt := b.keepers[old].InDoubt()
		g.Expect(doubt).To(BeTrue())
		at, _ := b.holder(g)
		g.Expect(at).To(Equal(-1))
		before := b.kv.Counts()
		b.kv.SetDown(false)
		b.await(g, 10*time.Second)
		time.Sleep(time.Minute)
		after := b.kv.Counts()
		g.Expect(after["writes"] - before["writes"]).To(BeNumerically("<=", 25))
		g.Expect(after["reads"] - before["reads"]).To(BeNumerically("<=", 10))
	})
}

// The region of the holder is cut off, so that the membership names no holder
// here for a long time although the job has one. Each of 40 entries that asked
// the service in every renewal interval would cost it 480 reads a minute for one
// job; with two candidates that go on and the others ever more rarely it is 60 or
// so.
func TestCandidatesThatSeeNoHolderAskRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(40, true)
		defer b.stopAll()
		g := NewWithT(t)
		time.Sleep(10 * time.Minute)
		before := b.kv.Counts()["reads"]
		time.Sleep(10 * time.Minute)
		g.Expect(b.kv.Counts()["reads"] - before).To(BeNumerically("<=", 900))
	})
}

// Links are cut and healed, answers are lost and the service goes down and comes
// back, at random. Two entries that claim the job at once would both deliver its
// samples.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(4, true)
				defer b.stopAll()
				g := NewWithT(t)
				rng := rand.New(rand.NewPCG(seed, seed))
				greatest, changes := int64(0), 0
				for range 4000 {
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
					if _, fence := b.holder(g); fence != 0 && fence != greatest {
						g.Expect(fence).To(BeNumerically(">", greatest))
						greatest = fence
						changes++
					}
					l := b.lines[rng.IntN(len(b.lines))]
					switch rng.IntN(60) {
					case 0:
						l.set(func(l *line) { l.cut = true })
					case 1, 2:
						l.set(func(l *line) { l.cut = false })
					case 3:
						l.set(func(l *line) { l.lose = http.MethodPost })
					case 4:
						l.set(func(l *line) { l.lose = http.MethodPut })
					case 5:
						b.kv.SetDown(rng.IntN(3) == 0)
					}
				}
				g.Expect(changes).To(BeNumerically(">", 1))
			})
		})
	}
}
