package eproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/rest"
	"github.com/lavendermux/lavendermux/wire"
)

// Order sends one order to the engine and returns nil only if the engine itself
// has confirmed it. A *fault.FencedError or a *fault.NotRunError means that the
// order was not applied. After a *fault.UnknownOutcomeError it may have been
// applied in part or in full; state queries show the outcome.
func (p *Proxy) Order(ctx context.Context, req *wire.OrderRequest) error {
	if ms := req.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if req.GetKind() == wire.OrderKind_ORDER_KIND_ASK {
		p.Refresh(ctx)
		return nil
	}
	o, err := orderFromWire(req)
	if err != nil {
		return err
	}
	if err := p.orderMu.Lock(ctx); err != nil {
		return &fault.NotRunError{Cause: CauseDeadline, Reason: "another order was under way", RetryAfter: defaultRetryAfter}
	}
	defer p.orderMu.Unlock()
	if err := p.checkFence(req.GetFence()); err != nil {
		return err
	}
	if o.Kind == order.Switch {
		return p.switchVersion(ctx, o)
	}
	st, err := p.engine.Order(ctx, o)
	if err != nil {
		return p.orderFailed(ctx, o, err)
	}
	p.applyState(st)
	return nil
}

// checkFence rejects a stale fencing token on behalf of engines that ignore it: a
// leader that was paused past its lease could otherwise revert the weight switch
// of its successor.
func (p *Proxy) checkFence(fence int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fenceKnown {
		return &fault.NotRunError{
			Cause:      CauseNotReady,
			Reason:     "the door has not learnt the current fencing number yet",
			RetryAfter: defaultRetryAfter,
		}
	}
	if fence < p.fence {
		return &fault.FencedError{Fence: fence, Current: p.fence}
	}
	p.fence = fence
	return nil
}

// switchVersion orders a switch of weights. The version of tokens is undecided from
// before the order is sent until the engine has confirmed its state.
func (p *Proxy) switchVersion(ctx context.Context, o order.Order) error {
	p.versions.BeginSwitch(o.Model)
	st, err := p.engine.Order(ctx, o)
	if err != nil {
		return p.orderFailed(ctx, o, err)
	}
	p.applyState(st)
	if have := st.Version(o.Model); have != o.Version {
		return &fault.UnknownOutcomeError{
			Cause:  CauseOrderFailed,
			Reason: "after the switch to " + o.Version + " the engine runs \"" + have + "\"",
		}
	}
	return nil
}

// orderFailed queries the engine for the outcome of an order that it did not
// confirm.
func (p *Proxy) orderFailed(ctx context.Context, o order.Order, err error) error {
	var old *fault.FencedError
	if errors.As(err, &old) {
		p.mu.Lock()
		p.fence = max(p.fence, old.Current)
		p.mu.Unlock()
		p.refresh(context.WithoutCancel(ctx))
		return old
	}
	p.refresh(context.WithoutCancel(ctx))
	if p.isApplied(o) {
		p.log.Info("order confirmed on a state query", "kind", o.Kind, "model", o.Model, "version", o.Version)
		return nil
	}
	var status *rest.StatusError
	if errors.As(err, &status) && o.Kind == order.Stage && status.Status == http.StatusBadGateway {
		return &fault.NotRunError{Cause: CauseWeightStore, Reason: status.Error(), RetryAfter: defaultRetryAfter}
	}
	if errors.As(err, &status) && o.Kind != order.Switch {
		return &fault.NotRunError{Cause: CauseOrderFailed, Reason: status.Error(), RetryAfter: defaultRetryAfter}
	}
	return &fault.UnknownOutcomeError{Cause: CauseOrderFailed, Reason: err.Error()}
}

// isApplied reports whether the engine's latest state shows that o was applied.
func (p *Proxy) isApplied(o order.Order) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stateKnown || p.state.Epoch%2 == 1 {
		return false
	}
	switch o.Kind {
	case order.Switch:
		return p.state.Version(o.Model) == o.Version
	case order.Stage:
		return p.state.Staged(o.Model, o.Version)
	case order.Role:
		return p.state.Role == o.Role
	}
	return false
}

func orderFromWire(req *wire.OrderRequest) (order.Order, error) {
	o := order.Order{
		Fence:   req.GetFence(),
		Model:   req.GetModel(),
		Version: req.GetVersion(),
		Role:    req.GetRole(),
	}
	switch req.GetKind() {
	case wire.OrderKind_ORDER_KIND_STAGE:
		o.Kind = order.Stage
	case wire.OrderKind_ORDER_KIND_SWITCH:
		o.Kind = order.Switch
	case wire.OrderKind_ORDER_KIND_UNLOAD:
		o.Kind = order.Unload
	case wire.OrderKind_ORDER_KIND_ROLE:
		o.Kind = order.Role
	default:
		return o, &fault.FieldError{Field: "kind", Problem: "is not a known kind of order"}
	}
	return o, nil
}
