package reads

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/brun"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/meter"
)

const (
	returned = `msg="Page returned."`
	lacks    = `msg="Page lacks results that were returned before."`
	first    = "entry-0/a"
	second   = "entry-1/b"
)

// rig is a tracker with its log and metrics.
type rig struct {
	*Tracker
	log   bytes.Buffer
	meter *meter.Meter
}

func newRig(opts ...Option) *rig {
	r := &rig{meter: meter.New()}
	r.Tracker = New(logs.New(&r.log), r.meter, opts...)
	return r
}

// page is the page after a position of a batch with length results.
func page(source string, epoch int64, after, length int) brun.Page {
	p := brun.Page{Total: 9, Next: max(after, length), Source: source, Epoch: epoch, Revision: 10 * epoch, Length: length, Stored: length}
	if length > after {
		p.Results = make([]batch.Result, length-after)
	}
	return p
}

// read returns one page to a caller.
func (r *rig) read(id, source string, epoch int64, after, length int) {
	r.Start(id, "", after)(page(source, epoch, after, length))
}

// takeLines returns the lines with a message since the last call.
func (r *rig) takeLines(message string) (out []string) {
	for line := range strings.Lines(r.log.String()) {
		if strings.Contains(line, message) {
			out = append(out, line)
		}
	}
	r.log.Reset()
	return out
}

func (r *rig) metrics() string {
	router := mux.NewRouter()
	r.meter.Register(router)
	rec := httptest.NewRecorder()
	router.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return rec.Body.String()
}

// A line for each read would drown the log: trainers poll. One line is needed for each source,
// epoch and length, or the read that showed a result can't be found.
func TestPageIsLoggedAtChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newRig()
		r.Start("b", "cedar", 0)(page(first, 1, 0, 2))
		g.Expect(r.takeLines(returned)).To(ConsistOf(ContainSubstring(
			"batch=b customer=cedar from=entry-0/a epoch=1 revision=10 after=0 next=2 length=2 stored=2 total=9 ended=false pending=false")))
		for range 20 {
			time.Sleep(logInterval)
			r.read("b", first, 1, 2, 2)
		}
		g.Expect(r.takeLines(returned)).To(BeEmpty(), "nothing has changed")
		r.read("b", first, 1, 2, 3)
		g.Expect(r.takeLines(returned)).To(ConsistOf(ContainSubstring("length=3")))
		r.read("b", first, 1, 3, 4)
		g.Expect(r.takeLines(returned)).To(BeEmpty(), "the list has grown within the interval")
		r.read("other", first, 1, 0, 1)
		g.Expect(r.takeLines(returned)).To(HaveLen(1), "another batch")
		time.Sleep(logInterval)
		r.read("b", first, 1, 4, 4)
		g.Expect(r.takeLines(returned)).To(ConsistOf(And(ContainSubstring("length=4"), Not(ContainSubstring("customer=")))))
		r.read("b", second, 2, 4, 4)
		g.Expect(r.takeLines(returned)).To(ConsistOf(ContainSubstring("from=entry-1/b epoch=2")))
		r.read("b", second, 3, 4, 4)
		g.Expect(r.takeLines(returned)).To(ConsistOf(ContainSubstring("epoch=3")))
	})
}

// A list that shrinks within the interval is what the lines are for.
func TestShorterPageIsLoggedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newRig()
		r.read("b", first, 1, 0, 2)
		r.read("b", first, 1, 2, 5) // within the interval: not logged
		r.takeLines(returned)
		r.read("b", first, 1, 5, 2)
		g.Expect(r.takeLines(returned)).To(ConsistOf(ContainSubstring("after=5 next=5 length=2")))
		r.read("b", first, 1, 5, 2)
		g.Expect(r.takeLines(returned)).To(BeEmpty())
	})
}

// A caller that has read more results elsewhere asks after a position that the source lacks. This
// entry returned nothing before, so that the position in the line is the only trace of it.
func TestReadBeyondTheEndIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newRig()
		r.read("b", first, 1, 2, 2)
		r.takeLines(returned)
		for range 3 {
			time.Sleep(logInterval)
			r.read("b", first, 1, 6, 2)
		}
		g.Expect(r.takeLines(returned)).To(ConsistOf(ContainSubstring("after=6 next=6 length=2")))
		g.Expect(r.metrics()).NotTo(ContainSubstring("pages_short_total"))
	})
}

// Results that were returned before are missing: the warning must name both owners, or the log
// can't tell an outdated owner from a takeover that missed results.
func TestShortPageIsWarnedOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newRig()
		r.read("b", second, 2, 0, 5)
		time.Sleep(time.Second)
		r.read("b", first, 1, 0, 3)
		g.Expect(r.takeLines(lacks)).To(ConsistOf(ContainSubstring("batch=b from=entry-0/a epoch=1 revision=10 after=0 next=3 length=3 stored=3 " +
			"returned=5 returnedFrom=entry-1/b returnedEpoch=2 returnedRevision=20 ago=1s")))
		r.read("b", first, 1, 0, 3)
		g.Expect(r.takeLines(lacks)).To(BeEmpty(), "just warned of")
		g.Expect(r.metrics()).To(ContainSubstring("lavendermux_pages_short_total 2"))
		r.read("b", first, 1, 5, 4)
		g.Expect(r.takeLines(lacks)).To(HaveLen(1), "the longest page is remembered, not the last one")
		r.read("b", second, 1, 5, 4)
		g.Expect(r.takeLines(lacks)).To(HaveLen(1), "another source")
		time.Sleep(warnInterval)
		r.read("b", second, 1, 5, 4)
		g.Expect(r.takeLines(lacks)).To(HaveLen(1), "it goes on")
		r.read("b", second, 2, 5, 5)
		g.Expect(r.takeLines(lacks)).To(BeEmpty())
	})
}

// Only what was returned counts: results of a page that was cut at its maximum size may be listed
// before a takeover without ever having been returned, and pages of concurrent reads are noted in
// any order. A false alarm would hide the true ones.
func TestNoWarningWithoutLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newRig()
		cut := page(first, 1, 0, 5)
		cut.Next, cut.Results = 2, cut.Results[:2]
		r.Start("b", "", 0)(cut)
		r.read("b", first, 1, 2, 2)
		earlier, later := r.Start("b", "", 2), r.Start("b", "", 2)
		later(page(first, 1, 2, 4))
		earlier(page(first, 1, 2, 3))
		g.Expect(r.takeLines(lacks)).To(BeEmpty())
		g.Expect(r.metrics()).NotTo(ContainSubstring("pages_short_total"))
	})
}

// Peers of an earlier version don't tell the length: 0 isn't a list without results.
func TestPageOfAnEarlierVersion(t *testing.T) {
	g, r := NewWithT(t), newRig()
	r.read("b", first, 1, 0, 1)
	var old brun.Page
	g.Expect(json.Unmarshal([]byte(`{"total":9,"next":1,"results":[{"id":"i"}]}`), &old)).To(Succeed())
	g.Expect(old.Next).To(Equal(1))
	g.Expect(old.Results).To(HaveLen(1))
	r.takeLines("")
	r.Start("b", "", 0)(old)
	g.Expect(r.takeLines("")).To(BeEmpty())
	g.Expect(r.metrics()).NotTo(ContainSubstring("pages_short_total"))
}

// An entry reads batches for months; what it remembers of them must not grow. Those that are still
// read stay.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 10
		g, r := NewWithT(t), newRig(WithCapacity(capacity))
		r.read("kept", first, 1, 0, 5)
		for n := range 20 * capacity {
			r.read(fmt.Sprint("b", n), first, 1, 0, 1)
			r.read("kept", first, 1, 5, 5)
			g.Expect(len(r.current) + len(r.previous)).To(BeNumerically("<=", capacity))
		}
		r.takeLines(lacks)
		r.read("kept", first, 1, 0, 4)
		g.Expect(r.takeLines(lacks)).To(HaveLen(1))
	})
}

// All reads of an entry pass through its tracker.
func TestConcurrentReads(t *testing.T) {
	g, r := NewWithT(t), newRig(WithCapacity(4))
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			for i := range 100 {
				r.read(fmt.Sprint("b", (n+i)%6), first, 1, 0, 1)
			}
		})
	}
	wg.Wait()
	g.Expect(len(r.current) + len(r.previous)).To(BeNumerically("<=", 4))
}
