package brun

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/prio"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/upstr"
)

type (
	// tracked is a batch that this instance runs, or serves after its end. It is guarded by
	// Runner.mu.
	tracked struct {
		record bstore.Record
		sub    *batch.Submission
		items  []*item
		byID   map[string]*item
		// memory is that of the items, in bytes.
		memory int64
		// startOrder has the items in the order in which they should start.
		startOrder []*item
		// results has the results by position. The store has the first record.Results of them,
		// and those before published can be read.
		results   []batch.Result
		published int
		ended     bool
		dropped   bool
		// replicated is the position before which the replicas have all results; replicating is
		// set while more are sent, and nothing more is sent before nextReplication.
		// movingReplicas is set while a write that changes the replicas is in flight: it may
		// have taken effect.
		replicated                  int
		replicating, movingReplicas bool
		nextReplication             time.Time
		// confirmedAt is the latest time at which this instance is known to have owned the batch.
		// confirming is closed at the end of the check of that under way, nil if none is; confirmErr is
		// why the last one failed. awaitedSince is when items last began to wait for a check: not when
		// one began, as each read may start one, and items would wait on and on.
		confirmedAt, awaitedSince time.Time
		confirming                chan struct{}
		confirmErr                error
		// outgrowsReplicas is set while a write is in flight after which a successor may have results
		// without sealing the replicas of record: it changes them, or has the last results or the end.
		outgrowsReplicas bool
		// writing is set while a write is in flight; hasMore once the last one left out what was to
		// be written, as it had the maximum size.
		writing, hasMore bool
		// hasDiscarded is set while the store has text that was discarded.
		hasDiscarded bool
		// create creates the batch in the store; nil once the store has it.
		create func(ctx context.Context, rec *bstore.Record) error
		// endStored is closed once the store has the end of the batch.
		endStored chan struct{}
		// changed is closed and replaced when there are new results to read.
		changed     chan struct{}
		flushSignal chan struct{}
		// saving is set while all partial text is to be stored, and closed when that is done.
		saving chan struct{}
		// writtenAt is the time of the last write, resultsWrittenAt that of the last write with
		// results or of the last replication.
		writtenAt, resultsWrittenAt time.Time
		// sortedAt is when startOrder was computed.
		sortedAt time.Time
		// waitsLoggedAt is when the causes for which items wait were last logged.
		waitsLoggedAt time.Time
		stepTimes     stepTimes
	}

	// position is a place in the text of an item.
	position struct {
		events    int
		lastEvent int64
		versions  []int64
	}

	item struct {
		*batch.Item
		// fp is the fingerprint, which identifies equal requests.
		fp reqfp.Fingerprint
		// texts are the data of the events so far, of textSize bytes in JSON and textMemory bytes
		// in memory.
		texts                []string
		textSize, textMemory int
		// before is where the run began; overruns counts runs that went on beyond the maximum.
		before   position
		overruns int
		// savedEvents is the number of texts that the store has.
		savedEvents int
		// lastEvent is the id of the last event received, or upstr.FromStart.
		lastEvent int64
		// versions are the weight versions of texts, ascending.
		versions []int64
		// complete reports whether the text is complete; only the score may still be missing.
		// completeSaved reports whether the store knows that.
		complete      bool
		completeSaved bool
		// completionOrder is the position among the texts that became complete, this one at
		// completedAt.
		completionOrder int
		completedAt     time.Time
		done            bool
		score           string
		// published reports whether the result is part of a write.
		published bool
		// cancelCall is set while the scoring call is in flight.
		cancelCall context.CancelCauseFunc
		// cancel is set while the item runs, at endpoint since startedAt; lastEventAt is when
		// it last produced an event, runEvents the events of this run.
		cancel      context.CancelCauseFunc
		endpoint    endpt.Endpoint
		startedAt   time.Time
		lastEventAt time.Time
		runEvents   int
		notBefore   time.Time
		// weightsAwaitedSince is since when the item could go on if an endpoint with its weights
		// had a free slot; zero if it got an event since.
		weightsAwaitedSince time.Time
		// moving is set once the run was cancelled to go on at another endpoint.
		moving     bool
		attempts   int
		failures   int
		migrations int
		// invalidAt has the endpoints that gave the item an invalid answer, maxInvalidAt at most.
		invalidAt []string
		// resubmitted marks an item whose group was part of an earlier batch; priorEvents is the
		// number of events generated there, all of them if lengthKnown.
		resubmitted bool
		priorEvents int
		lengthKnown bool
	}
)

func newTracked(record bstore.Record, sub *batch.Submission, stored []batch.Result) *tracked {
	b := &tracked{
		record:      record,
		sub:         sub,
		byID:        make(map[string]*item, len(sub.Items)),
		memory:      sub.Memory(),
		results:     stored,
		published:   len(stored),
		ended:       record.Ended,
		confirmedAt: record.ConfirmedAt,
		endStored:   make(chan struct{}),
		changed:     make(chan struct{}),
		flushSignal: make(chan struct{}, 1),
	}
	for i := range sub.Items {
		it := &item{Item: &sub.Items[i], lastEvent: upstr.FromStart}
		it.fp = reqfp.Of(record.Customer, sub.Host, it.Target, it.Body)
		b.items = append(b.items, it)
		b.byID[it.ID] = it
	}
	for _, res := range stored {
		if it, ok := b.byID[res.ID]; ok {
			it.done, it.published = true, true
		}
	}
	if record.Ended {
		close(b.endStored)
	}
	return b
}

// sortItems sets the order in which the items should start. stride is the number of tokens of
// an event, capacity the number of tokens that can be generated until the results are due.
func (b *tracked) sortItems(stride, capacity int, now time.Time) {
	b.sortedAt = now
	items := make([]prio.Item, len(b.items))
	for i, it := range b.items {
		items[i] = prio.Item{ID: it.ID, Group: it.Group, RemainingTokens: it.remaining(stride), Resubmitted: it.resubmitted}
	}
	b.startOrder = b.startOrder[:0]
	for _, i := range prio.Order(items, b.sub.RequiredGroups, capacity) {
		b.startOrder = append(b.startOrder, b.items[i])
	}
}

// remaining is the expected remaining output of an item, in tokens.
func (it *item) remaining(stride int) int {
	if it.complete || it.done {
		return 0
	}
	return max(0, it.expectedOutput(stride)-len(it.texts)*stride)
}

// expectedOutput is the expected output of an item, in tokens.
func (it *item) expectedOutput(stride int) int {
	if it.lengthKnown {
		return it.priorEvents * stride
	}
	return max(it.ExpectedTokens, it.priorEvents*stride)
}

// resume restores the partial text of an item that a previous owner stored.
func (b *tracked) resume(p batch.Progress) {
	it, ok := b.byID[p.ID]
	if !ok || it.done || p.Offset > len(it.texts) {
		return
	}
	it.setTexts(append(it.texts[:p.Offset:p.Offset], p.Texts...))
	it.savedEvents = len(it.texts)
	it.lastEvent = p.LastEvent
	it.versions = p.Versions
	it.complete, it.completeSaved = p.Complete, p.Complete
}

// requestSave requests that all partial text is stored.
func (b *tracked) requestSave() chan struct{} {
	b.saving = make(chan struct{})
	b.signalFlush()
	return b.saving
}

// takeProgress returns the text to store of items with at least minEvents unsaved events, and
// of complete ones that are finished or whose score is late, and whether there is more of it. It
// marks the text that it returns as saved.
func (b *tracked) takeProgress(minEvents int, now time.Time) (out []batch.Progress, more bool) {
	size := 0
	for _, it := range b.items {
		overdue := it.complete && (it.done || now.Sub(it.completedAt) > completeSaveDelay)
		if it.published || it.unsavedEvents() == 0 || (it.unsavedEvents() < minEvents && !overdue && !it.hasDiscarded()) {
			continue
		}
		p := batch.Progress{
			ID:        it.ID,
			Offset:    min(it.savedEvents, len(it.texts)), // what was discarded is discarded there, too
			Texts:     slices.Clone(it.texts[min(it.savedEvents, len(it.texts)):]),
			LastEvent: it.lastEvent,
			Versions:  slices.Clone(it.versions),
			Complete:  it.complete,
		}
		if size += progressSize(p); size > maxWriteBytes && len(out) > 0 {
			return out, true
		}
		out = append(out, p)
		it.savedEvents = len(it.texts)
		it.completeSaved = it.complete
	}
	return out, false
}

// takeResults returns the results to store, and whether there are more of them.
func (b *tracked) takeResults() (out []batch.Result, more bool) {
	size := 0
	for i := b.record.Results; i < len(b.results); i++ {
		if size += resultSize(b.results[i]); size > maxWriteBytes && i > b.record.Results {
			return b.results[b.record.Results:i:i], true
		}
	}
	return b.results[b.record.Results:len(b.results):len(b.results)], false
}

// finish appends the result of an item, once.
func (b *tracked) finish(it *item, state batch.State) {
	if it.done {
		return
	}
	it.done = true
	res := batch.Result{ID: it.ID, State: state}
	if state == batch.Completed {
		res.Text = it.text()
		res.Versions = it.versions
		res.Score = it.score
	}
	b.results = append(b.results, res)
	b.signalFlush()
}

// totalTokens is the expected output of all items, in tokens.
func (b *tracked) totalTokens() float64 {
	n := 0
	for _, it := range b.items {
		n += it.ExpectedTokens
	}
	return float64(n)
}

// completeGroups counts the groups that the trainer waits for and whose items are all among
// the first n results. The trainer waits for all resubmitted groups, and for as many others as
// it needs besides.
func (b *tracked) completeGroups(n int) int {
	missing, resubmitted := make(map[string]int), make(map[string]bool)
	for _, it := range b.items {
		missing[it.Group]++
		resubmitted[it.Group] = resubmitted[it.Group] || it.resubmitted
	}
	for _, res := range b.results[:n] {
		if it, ok := b.byID[res.ID]; ok {
			missing[it.Group]--
		}
	}
	complete, others, needed := 0, 0, b.sub.RequiredGroups
	for g, n := range missing {
		if resubmitted[g] {
			needed--
		}
		switch {
		case n > 0:
		case resubmitted[g]:
			complete++
		default:
			others++
		}
	}
	return complete + min(others, max(0, needed))
}

// signalFlush wakes the goroutine that writes results.
func (b *tracked) signalFlush() {
	select {
	case b.flushSignal <- struct{}{}:
	default:
	}
}

// notifyReaders wakes the readers.
func (b *tracked) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *tracked) page(after, limit int) Page {
	p := Page{
		Total:    len(b.items),
		Next:     after,
		Results:  []batch.Result{},
		Epoch:    b.record.Epoch,
		Revision: b.record.Revision,
		Length:   b.published,
		Stored:   b.record.Results,
		Ended:    b.ended,
		Pending:  b.isPending(),
		Final:    b.isFinal(),
	}
	size := 0
	for i := after; i < b.published; i++ {
		size += resultSize(b.results[i])
		if size > limit && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, b.results[i])
	}
	p.Next = after + len(p.Results)
	return p
}

// hasDiscarded reports whether the store has text that was discarded.
func (it *item) hasDiscarded() bool { return it.savedEvents > len(it.texts) }

// unsavedEvents counts the events that the store lacks, or has although they were discarded, plus
// one if it does not know that the text is complete.
func (it *item) unsavedEvents() int {
	n := max(len(it.texts)-it.savedEvents, it.savedEvents-len(it.texts))
	if it.complete && !it.completeSaved {
		n++
	}
	return n
}

func (it *item) text() string {
	n := 0
	for _, t := range it.texts {
		n += len(t) + 1
	}
	out := make([]byte, 0, n)
	for i, t := range it.texts {
		if i > 0 {
			out = append(out, '\n')
		}
		out = append(out, t...)
	}
	return string(out)
}

func (it *item) clonePartial() *item {
	out := &item{
		Item:      it.Item,
		lastEvent: it.lastEvent,
		versions:  slices.Clone(it.versions),
		complete:  it.complete,
	}
	out.setTexts(slices.Clone(it.texts))
	return out
}

func (it *item) addVersion(v int64) {
	i, ok := slices.BinarySearch(it.versions, v)
	if !ok {
		it.versions = slices.Insert(slices.Clone(it.versions), i, v)
	}
}

func (it *item) header() http.Header {
	h := make(http.Header, len(it.Headers))
	for k, v := range it.Headers {
		h.Set(k, v)
	}
	return h
}

// oldestVersion returns the oldest weight version of the text, or math.MaxInt64 if there is
// none.
func (it *item) oldestVersion() int64 {
	if len(it.versions) == 0 {
		return math.MaxInt64
	}
	return it.versions[0]
}
