package brun

import (
	"context"
	"time"
)

// Read returns the results from position after on, at most limit bytes but one
// result at least. It waits up to wait for the first.
func (r *Runner) Read(ctx context.Context, id string, after, limit int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		h, ok := r.held[id]
		if !ok {
			r.mu.Unlock()
			return Page{}, &NotHeldError{ID: id}
		}
		page, changed := h.page(after, limit), h.changed
		over := h.ended || h.listed == len(h.items)
		r.noteRead(h, page.Next)
		r.mu.Unlock()
		if len(page.Results) > 0 || over {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

// Owner returns the customer whose submission is held here; ok is false if it isn't held.
func (r *Runner) Owner(id string) (customer string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.held[id]
	if !ok {
		return "", false
	}
	return h.kept.Customer, true
}

// Body returns the body of an item.
func (r *Runner) Body(id, itemID string) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.held[id]
	if !ok {
		return nil, &NotHeldError{ID: id}
	}
	it, ok := h.byID[itemID]
	if !ok {
		return nil, &NoItemError{ID: id, Item: itemID}
	}
	return it.Body, nil
}

// End stops the items of a submission at once and returns when its end is kept.
func (r *Runner) End(ctx context.Context, id string) error {
	r.mu.Lock()
	h, ok := r.held[id]
	if !ok {
		r.mu.Unlock()
		return &NotHeldError{ID: id}
	}
	if !h.ended {
		h.ended = true
		r.stopItems(h)
		r.keepPartials(h)
		h.poke()
	}
	kept := h.endKept
	r.mu.Unlock()
	r.Wake()
	select {
	case <-kept:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) stopItems(h *held) {
	for _, it := range h.items {
		it.stop()
	}
}

// keepPartials remembers what the items of unfinished groups have, since these may come
// again in a later submission. Whole groups don't: kept as well, their texts would be
// most of an entry's memory.
func (r *Runner) keepPartials(h *held) {
	if len(r.partials) > partialMost {
		clear(r.partials)
	}
	missing := h.missing()
	for _, it := range h.items {
		if len(it.texts) > 0 && missing[it.Group] > 0 {
			r.partials[it.ID] = it.copyTexts()
		}
	}
}
