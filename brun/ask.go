package brun

import (
	"context"
	"time"
)

// Read returns the results from position after on, up to limit bytes but at least one result.
// It waits for the first one for at most wait. It returns a *NotFoundError if this instance doesn't
// own the batch, or not any more. It says that there is none only as the confirmed owner, and
// otherwise returns an *UnconfirmedError: a successor may have listed more, which were read there.
func (r *Runner) Read(ctx context.Context, id string, after, limit int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var isOver bool
	// check is closed at the end of the check of the ownership of owned; nil if there was none.
	var check <-chan struct{}
	var owned *tracked
	for {
		r.mu.Lock()
		b, ok := r.tracked[id]
		if !ok {
			r.mu.Unlock()
			return Page{}, &NotFoundError{ID: id}
		}
		if b != owned {
			owned, check = b, nil
		}
		page, changed := b.page(after, limit), b.changed
		isOver = isOver || b.ended || b.published == len(b.items)
		isAnswer, err := len(page.Results) > 0, error(nil)
		switch {
		case isAnswer:
			r.noteRead(b, page.Next)
		case !isOver:
		case b.isConfirmed(time.Now()):
			isAnswer = true
		case check == nil:
			check = r.startConfirmation(b)
		case isClosed(check):
			isAnswer, err = true, b.confirmErr
		}
		if isAnswer && len(page.Results) == 0 && !page.Final {
			page.ConfirmedMs = time.Since(b.confirmedAt).Milliseconds()
		}
		r.mu.Unlock()
		if isAnswer {
			return page, err
		}
		select {
		case <-changed:
		case <-check:
		case <-timer.C:
			isOver = true
		case <-ctx.Done():
			return Page{}, &UnconfirmedError{ID: id, Cause: ctx.Err()}
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// CustomerOf returns the customer that submitted the batch; ok is false if the batch is not on this
// instance.
func (r *Runner) CustomerOf(id string) (customer string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.tracked[id]
	if !ok {
		return "", false
	}
	return b.record.Customer, true
}

// Body returns the request body of an item.
func (r *Runner) Body(id, itemID string) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.tracked[id]
	if !ok {
		return nil, &NotFoundError{ID: id}
	}
	it, ok := b.byID[itemID]
	if !ok {
		return nil, &ItemNotFoundError{ID: id, Item: itemID}
	}
	return it.Body, nil
}

// End stops the items of a batch at once and returns when the store has its end. If the batch is
// dropped before that, it returns a *NotFoundError: the next owner has to be asked.
func (r *Runner) End(ctx context.Context, id string) error {
	r.mu.Lock()
	b, ok := r.tracked[id]
	if !ok {
		r.mu.Unlock()
		return &NotFoundError{ID: id}
	}
	if !b.ended {
		b.ended = true
		r.stopItems(b)
		r.savePartials(b)
		b.signalFlush()
	}
	r.mu.Unlock()
	r.Wake()
	for {
		r.mu.Lock()
		dropped, changed := b.dropped, b.changed
		r.mu.Unlock()
		if dropped {
			return &NotFoundError{ID: id}
		}
		select {
		case <-b.endStored:
			return nil
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Runner) stopItems(b *tracked) {
	for _, it := range b.items {
		it.stop()
	}
}

// savePartials keeps the partial texts of incomplete groups, which a later batch may submit
// again. Complete groups are not submitted again, and their texts would take most of the
// instance's memory.
func (r *Runner) savePartials(b *tracked) {
	if len(r.partials) > maxPartials {
		clear(r.partials)
	}
	r.limitPartials()
	missingResults := b.missingResults()
	for _, it := range b.items {
		if len(it.texts) > 0 && missingResults[it.Group] > 0 {
			r.partials[it.ID] = it.clonePartial()
		}
	}
}
