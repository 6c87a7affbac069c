// Package bdesk answers for batch submissions at any instance: it finds who holds
// a submission, asks there, and takes submissions over whose holder is lost.
package bdesk

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/brun"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/heirs"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// AskPath is where peers ask about submissions that are held here.
	AskPath = "/lavendermux.Batches/Ask"

	opRead  = "read"
	opBody  = "body"
	opEnd   = "end"
	opOffer = "offer"

	// askTimeout bounds a question to a peer, beyond the time that it may wait.
	askTimeout = 1200 * time.Millisecond
	// powerLeast is the share of a processor that a holder needs: two steps of a
	// hundred streams take 0.05 of one at the mean and 0.15 at their start.
	powerLeast = 0.2
	// offerTime bounds how long a peer may take to take submissions over.
	offerTime = 2 * time.Second
	// adoptPause is the wait before a take-over that failed is tried again.
	adoptPause = 300 * time.Millisecond
)

type (
	// Desk answers for submissions. See New.
	Desk struct {
		self   string
		store  *bstore.Store
		runner *brun.Runner
		mesh   *mesh.Mesh
		logger *log.Logger
		// run is the life of the process: work that was accepted goes on when
		// the request that brought it has ended.
		run context.Context
		// stopping is set once this instance takes no new work.
		stopping atomic.Bool
		strained func() bool

		mu sync.Mutex
		// known are the heads that were read, so that a submission's holder
		// needn't be looked up for each read.
		known map[string]bstore.Kept
		// adopting has the submissions that are just being taken over.
		adopting map[string]chan struct{}
	}

	// NoBatchError says that no such submission is kept.
	NoBatchError struct {
		ID string
	}

	askRequest struct {
		Op   string   `json:"op"`
		ID   string   `json:"id"`
		IDs  []string `json:"ids,omitempty"`
		Item string   `json:"item,omitempty"`
		// From is the holder that offers submissions.
		From  string `json:"from,omitempty"`
		After int    `json:"after,omitempty"`
		Limit int    `json:"limit,omitempty"`
		Wait  int64  `json:"waitMs,omitempty"`
	}

	askResponse struct {
		Held   bool      `json:"held"`
		NoItem bool      `json:"noItem,omitempty"`
		Page   brun.Page `json:"page"`
		Body   []byte    `json:"body,omitempty"`
		// Taken are the offered submissions that were taken over.
		Taken map[string]int64 `json:"taken,omitempty"`
	}
)

// Error names the submission.
func (e *NoBatchError) Error() string { return "no batch " + e.ID }

// New returns a desk. run is the life of the process; strained says whether it is
// short of processor time.
//
//	d := bdesk.New(run, store, runner, m, logger, gauge.Strained)
//	err := d.Submit(ctx, sub)
func New(run context.Context, store *bstore.Store, runner *brun.Runner, m *mesh.Mesh, logger *log.Logger, strained func() bool) *Desk {
	return &Desk{
		strained: strained,
		self:     m.Self().Holder(),
		store:    store,
		runner:   runner,
		mesh:     m,
		logger:   logger,
		run:      run,
		known:    make(map[string]bstore.Kept),
		adopting: make(map[string]chan struct{}),
	}
}

// Submit accepts a submission. When it returns nil the submission is kept; on a
// *kvst.RefusedError it surely isn't; on any other error that is unknown.
func (d *Desk) Submit(ctx context.Context, sub *batch.Submission) error {
	if d.runner.Holds(sub.ID) {
		return nil
	}
	holder, elsewhere := d.holderFor(sub.ID)
	kept, created, err := d.store.Create(ctx, sub, holder.Holder())
	if err != nil {
		return err
	}
	d.remember(kept)
	if created && elsewhere {
		go d.offer(d.run, holder, []string{sub.ID}, holder.Holder())
		return nil
	}
	if created {
		d.runner.Add(d.run, kept, sub, nil, nil)
		return nil
	}
	go d.ensureHeld(sub.ID)
	return nil
}

// holderFor returns who should hold a submission: this instance, or a peer if this
// one is about to stop, short of processor time, or too small.
func (d *Desk) holderFor(id string) (n mesh.Node, elsewhere bool) {
	self := d.mesh.Self()
	if !d.stopping.Load() && !d.strained() && self.Power >= powerLeast {
		return self, false
	}
	n, ok := heirs.Choose(id, d.mesh.Heirs())
	if !ok || (!d.stopping.Load() && !d.strained() && n.Power <= self.Power) {
		return self, false
	}
	return n, true
}

// Shed hands over what is held here while this instance is short of processor time.
func (d *Desk) Shed(ctx context.Context) { d.handOver(ctx) }

// ensureHeld sees to it that a submission that came again has a live holder: the
// first one may have died after it was kept.
func (d *Desk) ensureHeld(id string) {
	ctx, cancel := context.WithTimeout(d.run, askTimeout)
	defer cancel()
	if _, err := d.ask(ctx, askRequest{Op: opRead, ID: id}); err != nil {
		d.logger.Warn("Holder not found.", "batch", id, "error", err)
	}
}

// HandOver offers the submissions that are open here to peers, for a planned stop,
// and has new ones go there from now on.
func (d *Desk) HandOver(ctx context.Context) {
	d.stopping.Store(true)
	d.handOver(ctx)
}

func (d *Desk) handOver(ctx context.Context) {
	offers := make(map[mesh.Node][]string)
	for id := range d.runner.Holding() {
		if heir, ok := d.holderFor(id); ok {
			offers[heir] = append(offers[heir], id)
		}
	}
	for heir, ids := range offers {
		d.offer(ctx, heir, ids, d.self)
	}
}

// offer has a peer take submissions over from the holder that is named.
func (d *Desk) offer(ctx context.Context, heir mesh.Node, ids []string, from string) {
	res, err := d.askPeer(ctx, heir, askRequest{Op: opOffer, IDs: ids, From: from, Wait: offerTime.Milliseconds()})
	if err != nil {
		d.logger.Warn("Batches not handed over.", "peer", heir.Name, "batches", ids, "error", err)
		return
	}
	d.logger.Info("Batches handed over.", "peer", heir.Name, "batches", ids, "taken", len(res.Taken))
	d.runner.Overtaken(heir.Name, res.Taken)
}

// Read returns results from position after on.
func (d *Desk) Read(ctx context.Context, id string, after, limit int, wait time.Duration) (brun.Page, error) {
	res, err := d.ask(ctx, askRequest{Op: opRead, ID: id, After: after, Limit: limit, Wait: wait.Milliseconds()})
	if err != nil {
		return brun.Page{}, err
	}
	return res.Page, nil
}

// Body returns the body of an item.
func (d *Desk) Body(ctx context.Context, id, item string) ([]byte, error) {
	res, err := d.ask(ctx, askRequest{Op: opBody, ID: id, Item: item})
	if err != nil {
		return nil, err
	}
	if res.NoItem {
		return nil, &brun.NoItemError{ID: id, Item: item}
	}
	return res.Body, nil
}

// End ends a submission.
func (d *Desk) End(ctx context.Context, id string) error {
	_, err := d.ask(ctx, askRequest{Op: opEnd, ID: id})
	return err
}

// ask answers here if the submission is held here, and otherwise asks its holder,
// which is looked up, or becomes this instance if it is lost.
func (d *Desk) ask(ctx context.Context, in askRequest) (*askResponse, error) {
	const rounds = 3
	var last error
	for range rounds {
		res, err := d.local(ctx, in)
		if err != nil || res.Held {
			return res, err
		}
		if n, ok := d.mesh.HolderOf(in.ID); ok {
			if res, err = d.askPeer(ctx, n, in); err == nil && res.Held {
				return res, nil
			}
		}
		kept, err := d.lookUp(ctx, in.ID)
		if err != nil {
			return nil, err
		}
		if n, ok := d.mesh.Find(kept.Holder); ok {
			if res, last = d.askPeer(ctx, n, in); last == nil && res.Held {
				return res, nil
			}
			d.forget(in.ID)
			continue
		}
		if n, ok := d.reader(kept); ok {
			if res, last = d.askPeer(ctx, n, in); last == nil && res.Held {
				return res, nil
			}
		}
		if last = d.adopt(ctx, kept); last != nil {
			d.forget(in.ID)
			var taken *bstore.OvertakenError
			if !errors.As(last, &taken) {
				return nil, last
			}
		}
	}
	if last == nil {
		last = &brun.NotHeldError{ID: in.ID}
	}
	return nil, last
}

// reader returns the peer that answers for an ended submission whose holder is
// gone, always the same one, so that not every instance has to load it.
func (d *Desk) reader(kept bstore.Kept) (mesh.Node, bool) {
	if !kept.Ended {
		return mesh.Node{}, false
	}
	first := rendez.First(kept.ID, d.mesh.Entries(true), 1, func(n mesh.Node) string { return n.Name })
	if len(first) == 0 || first[0].Name == d.mesh.Self().Name {
		return mesh.Node{}, false
	}
	return first[0], true
}

func (d *Desk) local(ctx context.Context, in askRequest) (*askResponse, error) {
	res := &askResponse{Held: true}
	var err error
	switch in.Op {
	case opRead:
		res.Page, err = d.runner.Read(ctx, in.ID, in.After, in.Limit, time.Duration(in.Wait)*time.Millisecond)
	case opBody:
		res.Body, err = d.runner.Body(in.ID, in.Item)
	case opEnd:
		err = d.runner.End(ctx, in.ID)
	}
	var notHeld *brun.NotHeldError
	var noItem *brun.NoItemError
	switch {
	case errors.As(err, &notHeld):
		return &askResponse{}, nil
	case errors.As(err, &noItem):
		return &askResponse{Held: true, NoItem: true}, nil
	}
	return res, err
}

// Answer serves a peer's question; it never asks on.
func (d *Desk) Answer(ctx context.Context, in *askRequest) (*askResponse, error) {
	if in.Op == opOffer {
		return &askResponse{Held: true, Taken: d.takeOffered(ctx, in)}, nil
	}
	res, err := d.local(ctx, *in)
	if err == nil && !res.Held {
		// The asker's record names this instance, but what it accepted got lost
		// on the way: its creation took effect after its answer was given up.
		// Or it has ended, and this instance is the one that answers for it.
		if kept, loadErr := d.store.Load(ctx, in.ID); loadErr == nil && (kept.Holder == d.self || kept.Ended) && d.adopt(ctx, kept) == nil {
			res, err = d.local(ctx, *in)
		}
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return res, nil
}

// takeOffered takes over what a peer offers, all at once.
func (d *Desk) takeOffered(ctx context.Context, in *askRequest) map[string]int64 {
	var wg sync.WaitGroup
	for _, id := range in.IDs {
		wg.Go(func() {
			if err := d.adopt(ctx, bstore.Kept{ID: id, Head: batch.Head{Holder: in.From}}); err != nil {
				d.logger.Warn("Offer not taken.", "batch", id, "from", in.From, "error", err)
			}
		})
	}
	wg.Wait()
	holding := d.runner.Holding()
	maps.DeleteFunc(holding, func(id string, _ int64) bool { return !slices.Contains(in.IDs, id) })
	return holding
}

func (d *Desk) askPeer(ctx context.Context, n mesh.Node, in askRequest) (*askResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+time.Duration(in.Wait)*time.Millisecond)
	defer cancel()
	return mesh.Call[askRequest, askResponse](ctx, d.mesh.Client(), n.Addr, AskPath, &in)
}

// lookUp returns a submission's head, from memory if it was read before.
func (d *Desk) lookUp(ctx context.Context, id string) (bstore.Kept, error) {
	d.mu.Lock()
	kept, ok := d.known[id]
	d.mu.Unlock()
	if ok {
		return kept, nil
	}
	kept, err := d.store.Load(ctx, id)
	if err != nil {
		return kept, err
	}
	if kept.Revision == 0 {
		return kept, &NoBatchError{ID: id}
	}
	d.remember(kept)
	return kept, nil
}

func (d *Desk) remember(kept bstore.Kept) {
	const most = 4000
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.known) > most {
		clear(d.known)
	}
	d.known[kept.ID] = kept
}

func (d *Desk) forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.known, id)
}

// adopt makes this instance the holder of a submission whose holder is lost. An
// ended submission is only loaded, to be read.
func (d *Desk) adopt(ctx context.Context, kept bstore.Kept) error {
	d.mu.Lock()
	busy, ok := d.adopting[kept.ID]
	if !ok {
		busy = make(chan struct{})
		d.adopting[kept.ID] = busy
	}
	d.mu.Unlock()
	if ok {
		select {
		case <-busy:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer func() {
		d.mu.Lock()
		delete(d.adopting, kept.ID)
		d.mu.Unlock()
		close(busy)
	}()
	return d.takeOver(ctx, kept)
}

func (d *Desk) takeOver(ctx context.Context, kept bstore.Kept) error {
	if d.runner.Holds(kept.ID) {
		return nil
	}
	now, err := d.store.Load(ctx, kept.ID)
	if err != nil {
		return err
	}
	if now.Revision == 0 {
		return &NoBatchError{ID: kept.ID}
	}
	from := now.Holder
	if _, alive := d.mesh.Find(from); alive && from != kept.Holder {
		d.remember(now)
		return &bstore.OvertakenError{ID: kept.ID, Now: now.Head}
	}
	if heir, ok := d.holderFor(kept.ID); ok && !now.Ended {
		d.offer(ctx, heir, []string{kept.ID}, now.Holder)
		d.forget(kept.ID)
		return nil
	}
	if !now.Ended {
		if err := d.store.TakeOver(ctx, &now, d.self); err != nil {
			return err
		}
	}
	sub, err := d.store.Submission(ctx, now)
	if err != nil {
		return err
	}
	results, err := d.store.Results(ctx, now)
	if err != nil {
		return err
	}
	progress, err := d.store.Progress(ctx, now)
	if err != nil {
		return err
	}
	d.remember(now)
	d.runner.Add(d.run, now, sub, results, progress)
	d.logger.Warn("Batch taken over.", "batch", now.ID, "from", from, "epoch", now.Epoch, "results", len(results), "ended", now.Ended)
	return nil
}

// Lost takes over those submissions of a lost peer that fall to this instance.
func (d *Desk) Lost(n mesh.Node, holding map[string]int64) {
	alive := []string{d.mesh.Self().Name}
	for _, p := range d.mesh.Alive() {
		if p.Name != n.Name {
			alive = append(alive, p.Name)
		}
	}
	for id := range holding {
		d.forget(id)
		if rendez.Rank(id, alive, d.mesh.Self().Name) == 0 {
			go d.adoptLost(id, n.Holder())
		}
	}
}

func (d *Desk) adoptLost(id, holder string) {
	for d.run.Err() == nil {
		err := d.adopt(d.run, bstore.Kept{ID: id, Head: batch.Head{Holder: holder}})
		var taken *bstore.OvertakenError
		var none *NoBatchError
		if err == nil || errors.As(err, &taken) || errors.As(err, &none) {
			return
		}
		d.logger.Warn("Batch not taken over yet.", "batch", id, "error", err)
		time.Sleep(adoptPause)
	}
}

// Recover takes over what was left behind when all instances stopped at once.
func (d *Desk) Recover(ctx context.Context) {
	heads, err := d.store.Heads(ctx)
	for err != nil && ctx.Err() == nil {
		d.logger.Warn("Batches not listed yet.", "error", err)
		time.Sleep(adoptPause)
		heads, err = d.store.Heads(ctx)
	}
	for _, k := range heads {
		if k.Ended || d.runner.Holds(k.ID) {
			continue
		}
		if _, alive := d.mesh.Find(k.Holder); !alive {
			d.Lost(mesh.Node{}, map[string]int64{k.ID: k.Epoch})
		}
	}
}
