package broute

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/brun"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

// ask answers from this instance if it owns the batch, and otherwise forwards the request
// to the owner. The owner is looked up; if it is lost, this instance takes the batch over.
func (d *Router) ask(ctx context.Context, req askRequest) (*askResponse, error) {
	const rounds = 3
	var last error
	for range rounds {
		res, err := d.askLocal(ctx, req)
		if err != nil || res.Owned {
			return res, err
		}
		if n, ok := d.mesh.OwnerOf(req.ID); ok {
			if res, err = d.askPeer(ctx, n, req); err == nil && res.Owned {
				return res, nil
			}
		}
		wasRecovering := d.isRecovering()
		rec, err := d.lookUp(ctx, req.ID)
		var none *NotFoundError
		if errors.As(err, &none) {
			return d.confirmNotFound(ctx, req, wasRecovering)
		}
		if err != nil {
			return nil, err
		}
		res, last = d.askRecordedOwner(ctx, rec, req)
		if res.Owned {
			return res, nil
		}
		var fenced *bstore.FencedError
		if errors.As(last, &none) {
			return d.confirmNotFound(ctx, req, wasRecovering)
		}
		if last != nil && !errors.As(last, &fenced) {
			return nil, last
		}
	}
	if last == nil {
		last = &brun.NotFoundError{ID: req.ID}
	}
	return nil, last
}

// askRecordedOwner asks the owner that the record names, through a peer if only that hears it. If that
// instance isn't known to be alive, or can't continue the batch, it is taken over, and the next round
// finds it.
func (d *Router) askRecordedOwner(ctx context.Context, rec bstore.Record, req askRequest) (*askResponse, error) {
	none := &askResponse{}
	n, ok := d.mesh.FindHolder(rec.Owner)
	if !ok && n.Name != "" && !rec.Ended {
		if res, ok := d.askThroughPeer(ctx, rec, n, req); ok {
			return res, nil
		}
	}
	if ok {
		res, err := d.askPeer(ctx, n, req)
		if err == nil && res.Owned {
			return res, nil
		}
		d.uncacheHead(req.ID)
		if err != nil || !res.Unsealed {
			d.logger.Info("Batch owner does not answer.", "batch", req.ID, "holder", rec.Owner, "error", err)
			return none, nil
		}
		d.logger.Info("Batch owner reaches too few replicas.", "batch", req.ID, "holder", rec.Owner)
	}
	if n, ok := d.endedReader(rec); ok {
		res, err := d.askPeer(ctx, n, req)
		if err == nil && res.Owned {
			return res, nil
		}
	}
	if err := d.joinTakeover(ctx, rec); err != nil {
		d.uncacheHead(req.ID)
		return none, err
	}
	return none, nil
}

// askThroughPeer asks the owner of a batch through a peer that hears it. Two instances that are cut off
// from each other only would otherwise take the batch from each other at each request.
func (d *Router) askThroughPeer(ctx context.Context, rec bstore.Record, owner mesh.Node, req askRequest) (*askResponse, bool) {
	witness, ok := d.mesh.Witness(ctx, owner.Name)
	if !ok {
		return nil, false
	}
	req.Relay = rec.Owner
	res, err := d.askPeer(ctx, witness, req)
	if err != nil || !res.Owned {
		d.logger.Info("Batch owner does not answer through a peer.", "batch", rec.ID, "holder", rec.Owner, "peer", witness.Name, "error", err)
		return nil, false
	}
	return res, true
}

// endedReader returns the peer that serves an ended batch whose owner is gone, always the
// same one, so that not every instance has to load it.
func (d *Router) endedReader(rec bstore.Record) (mesh.Node, bool) {
	if !rec.Ended {
		return mesh.Node{}, false
	}
	first := rendez.Top(rec.ID, d.mesh.Entries(true), 1, func(n mesh.Node) string { return n.Name })
	if len(first) == 0 || first[0].Name == d.mesh.Self().Name {
		return mesh.Node{}, false
	}
	return first[0], true
}

func (d *Router) askLocal(ctx context.Context, req askRequest) (*askResponse, error) {
	res := &askResponse{Owned: true}
	if customer, _ := d.runner.CustomerOf(req.ID); customer != "" && customer != req.Customer {
		return &askResponse{Owned: true, OtherCustomer: true}, nil
	}
	var err error
	switch req.Op {
	case opRead:
		res.Page, err = d.runner.Read(ctx, req.ID, req.After, req.Limit, time.Duration(req.Wait)*time.Millisecond)
		res.Page.Source = d.self
	case opBody:
		res.Body, err = d.runner.Body(req.ID, req.Item)
	case opEnd:
		err = d.runner.End(ctx, req.ID)
	}
	var notFound *brun.NotFoundError
	var noItem *brun.ItemNotFoundError
	var unconfirmed *brun.UnconfirmedError
	switch {
	case errors.As(err, &notFound):
		return &askResponse{}, nil
	case errors.As(err, &unconfirmed):
		return &askResponse{Owned: true, Unconfirmed: unconfirmed.Cause.Error()}, nil
	case errors.As(err, &noItem):
		return &askResponse{Owned: true, NoItem: true}, nil
	}
	return res, err
}

// ServePeer serves a peer's request. It forwards it to another peer only if it is asked to.
func (d *Router) ServePeer(ctx context.Context, req *askRequest) (*askResponse, error) {
	start := time.Now()
	if req.Op == opOffer {
		return &askResponse{Owned: true, Taken: d.acceptOffer(ctx, req)}, nil
	}
	if req.Relay != "" {
		return d.relay(ctx, *req)
	}
	res, err := d.askLocal(ctx, *req)
	if err == nil && !res.Owned && !req.OnlyTracked {
		// The peer's record names this instance as the owner, but this instance never
		// learned of it: the write that created the batch took effect after its reply was
		// given up. Or the batch has ended, and this instance is the one that serves it.
		if rec, loadErr := d.store.Load(ctx, req.ID); loadErr == nil && (rec.Owner == d.self || rec.Ended) {
			takeoverErr := d.joinTakeover(ctx, rec)
			if takeoverErr == nil {
				res, err = d.askLocal(ctx, *req)
			}
			res.Unsealed = isUnsealed(takeoverErr)
		}
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res.HeldMs = time.Since(start).Milliseconds()
	return res.orAborted()
}

// relay passes a request on to the owner that it names. The time on the way counts as that of the peer.
func (d *Router) relay(ctx context.Context, req askRequest) (*askResponse, error) {
	n, ok := d.mesh.FindHolder(req.Relay)
	if !ok {
		return &askResponse{}, nil
	}
	req.Relay = ""
	res, err := d.askPeer(ctx, n, req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return res.orAborted()
}

// orAborted returns an error for an owner that can't tell whether it still is: earlier versions would
// take the response for a page.
func (r *askResponse) orAborted() (*askResponse, error) {
	if r.Unconfirmed != "" {
		return nil, connect.NewError(connect.CodeAborted, errors.New(r.Unconfirmed))
	}
	return r, nil
}

// acceptOffer takes over the batches that a peer offers, concurrently.
func (d *Router) acceptOffer(ctx context.Context, req *askRequest) map[string]int64 {
	var wg sync.WaitGroup
	for _, id := range req.IDs {
		wg.Go(func() {
			if err := d.joinTakeover(ctx, bstore.Record{ID: id, Head: batch.Head{Owner: req.From}}); err != nil {
				d.logger.Warn("Offered batch not taken over.", "batch", id, "from", req.From, "error", err)
			}
		})
	}
	wg.Wait()
	epochs := d.runner.Holding()
	maps.DeleteFunc(epochs, func(id string, _ int64) bool { return !slices.Contains(req.IDs, id) })
	return epochs
}

func (d *Router) askPeer(ctx context.Context, n mesh.Node, req askRequest) (*askResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+time.Duration(req.Wait)*time.Millisecond)
	defer cancel()
	start := time.Now()
	res, err := mesh.Call[askRequest, askResponse](ctx, d.mesh.Client(), n.Addr, PeerPath, &req)
	switch {
	case connect.CodeOf(err) == connect.CodeAborted:
		return &askResponse{Owned: true, Unconfirmed: err.Error()}, nil
	case err == nil:
		res.transit = time.Since(start) - time.Duration(res.HeldMs)*time.Millisecond
	}
	return res, err
}

// lookUp returns the head of a batch, from the cache if it has been read before.
func (d *Router) lookUp(ctx context.Context, id string) (bstore.Record, error) {
	d.mu.Lock()
	rec, ok := d.headCache[id]
	d.mu.Unlock()
	if ok {
		return rec, nil
	}
	rec, err := d.store.Load(ctx, id)
	if err != nil {
		return rec, err
	}
	if rec.Revision == 0 {
		return rec, &NotFoundError{ID: id}
	}
	d.cacheHead(rec)
	return rec, nil
}

func (d *Router) cacheHead(rec bstore.Record) {
	const maxHeads = 4000
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.headCache) > maxHeads {
		clear(d.headCache)
	}
	d.headCache[rec.ID] = rec
}

func (d *Router) uncacheHead(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.headCache, id)
}
