package brun

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/upstr"
)

const (
	// maxTextBytes is the maximum size of the text of an item in JSON: a page of results and a value
	// of the store have 1 MiB, with its ID and score.
	maxTextBytes = 896 << 10
	// defaultTextMemory is the default memory for partial texts. The first freeTextBytes of each don't
	// count, and nearly all texts are shorter.
	defaultTextMemory = 64 << 20
	freeTextBytes     = 16 << 10
	// eventMemory is the memory that an event takes besides its data.
	eventMemory = 48
	// textMemoryRetryDelay is the delay before an item runs again whose text was discarded.
	textMemoryRetryDelay = 500 * time.Millisecond
)

// errTextMemory ends a run whose text finds no memory.
var errTextMemory = errors.New("partial texts use all of the memory for them")

// overrunError reports a run that went on beyond the maximum length of its item.
type overrunError struct {
	MaxEvents int
}

// Error names the maximum number of events.
func (e *overrunError) Error() string {
	return fmt.Sprintf("the output is longer than the item may be, %d events and %d bytes", e.MaxEvents, maxTextBytes)
}

// maxEvents is the maximum number of events of the item: each has one token at least. The number
// of tokens that one usually has says less, as they may have fewer.
func (it *item) maxEvents() int {
	switch {
	case it.MaxOutputTokens > 0:
		return it.MaxOutputTokens
	case it.MaxTokens > 0:
		return it.MaxTokens
	}
	return maxTextBytes
}

// setTexts replaces the text of the item.
func (it *item) setTexts(texts []string) {
	it.texts, it.textSize, it.textMemory = texts[:0:0], 0, 0
	for _, t := range texts {
		it.appendText(t)
	}
}

func (it *item) appendText(text string) {
	it.texts = append(it.texts, text)
	it.textSize += encodedSize(text) + 1
	it.textMemory += len(text) + eventMemory
}

// countedMemory is the memory of the text that counts.
func (it *item) countedMemory() int64 { return max(0, int64(it.textMemory)-freeTextBytes) }

// reserve returns an error if an event may not be added to the text of an item: an *overrunError, or
// errTextMemory. The caller holds r.mu.
func (r *Runner) reserve(it *item, text string) error {
	if len(it.texts) >= it.maxEvents() || it.textSize+encodedSize(text)+1 > maxTextBytes {
		return &overrunError{MaxEvents: it.maxEvents()}
	}
	memory := int64(it.textMemory + len(text) + eventMemory)
	more := max(0, memory-freeTextBytes) - it.countedMemory()
	if more > 0 && (r.textUsed+more > r.textMemory || !r.payload.Take(more)) {
		return errTextMemory
	}
	r.textUsed += more
	r.textTaken += max(0, more)
	return nil
}

// countPayload counts in payload what texts take. The caller holds r.mu.
func (r *Runner) countPayload() {
	r.payload.Adjust(r.textUsed - r.textTaken)
	r.textTaken = r.textUsed
}

// discardForeign discards what a run has added to the text if it went on beyond the maximum: none
// of it is known to be the item's. If that happens again, what is before it is none, either. The
// caller holds r.mu.
func (r *Runner) discardForeign(b *tracked, it *item, err error) {
	var overrun *overrunError
	if !errors.As(err, &overrun) {
		return
	}
	it.overruns++
	to := it.before
	if it.overruns > 1 {
		to = position{lastEvent: upstr.FromStart}
	}
	r.discard(b, it, to, "longer than the item may be")
}

// discard discards the text of an item behind a position, also in the store. The caller holds r.mu.
func (r *Runner) discard(b *tracked, it *item, to position, cause string) {
	r.meter.Count("items_restarted_total", 1, "cause", cause)
	r.logger.Info("Item restarted.", "batch", b.sub.ID, "item", it.ID, "cause", cause, "versions", it.versions, "events", len(it.texts), "from", to.events)
	r.textUsed -= it.countedMemory()
	it.setTexts(it.texts[:min(to.events, len(it.texts))])
	r.textUsed += it.countedMemory()
	r.countPayload()
	it.lastEvent, it.versions = to.lastEvent, to.versions
	if it.hasDiscarded() {
		b.hasDiscarded = true
		b.signalFlush()
	}
}

// countTexts counts the memory of the partial texts anew, as items end. The caller holds r.mu.
func (r *Runner) countTexts() {
	r.textUsed = 0
	for _, b := range r.tracked {
		if b.ended {
			continue
		}
		for _, it := range b.items {
			if !it.done {
				r.textUsed += it.countedMemory()
			}
		}
	}
	for _, it := range r.partials {
		r.textUsed += it.countedMemory()
	}
	r.countPayload()
}

// countItems counts the memory of the items of all batches anew. The caller holds r.mu.
func (r *Runner) countItems() {
	used := int64(0)
	for _, b := range r.tracked {
		used += b.memory
	}
	r.batches.Adjust(used - r.itemsUsed)
	r.itemsUsed = used
}

// limitPartials forgets the partial texts of ended batches if they take half of the memory for texts.
// The caller holds r.mu.
func (r *Runner) limitPartials() {
	used := int64(0)
	for _, it := range r.partials {
		used += it.countedMemory()
	}
	if used > r.textMemory/2 {
		clear(r.partials)
	}
}
