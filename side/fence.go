package side

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/jobs"
	"github.com/lavendermux/lavendermux/lease"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// fenceRetryInterval is how often a sidecar queries the current fencing token
	// after its start. It accepts no orders before it knows the token, which delays
	// a weight switch but loses nothing.
	fenceRetryInterval = time.Second
)

// learnFence determines the greatest fencing token after a start: the sidecar has
// lost the one it knew before, and its engine may ignore tokens. The token is in
// the job's record; during an outage of the metadata store the entry instances
// are queried instead.
func (s *Sidecar) learnFence(ctx context.Context) {
	tick := time.NewTicker(fenceRetryInterval)
	defer tick.Stop()
	for {
		if fence, known := s.fence(ctx); known {
			s.log.Info("fencing number learnt", "fence", fence)
			s.engine.ObserveFence(fence)
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sidecar) fence(ctx context.Context) (int64, bool) {
	pools := s.pools()
	if len(pools) == 0 {
		return 0, false
	}
	maxFence := int64(0)
	for _, name := range pools {
		fence, known := s.jobFence(ctx, jobs.Pool(name))
		if !known {
			return 0, false
		}
		maxFence = max(maxFence, fence)
	}
	return maxFence, true
}

func (s *Sidecar) jobFence(ctx context.Context, job string) (int64, bool) {
	rec, err := s.store.Get(ctx, lease.KeyPrefix+job)
	var missing *fault.NotFoundError
	if errors.As(err, &missing) {
		return 0, true
	}
	if err == nil {
		return rec.Created, true
	}
	return s.fenceFromPeers(ctx, job)
}

// fenceFromPeers queries the entry instances for the fencing token of the job's leader. It
// takes a quorum of them: one may be a leader that was overtaken while it was cut off.
func (s *Sidecar) fenceFromPeers(ctx context.Context, job string) (int64, bool) {
	read := s.beats.QuorumRead(ctx, func(ctx context.Context, entry insts.Instance) (int64, error) {
		resp, err := s.dial.Peer(entry.Address).Fence(ctx, connect.NewRequest(&wire.FenceRequest{Job: job}))
		if err != nil {
			return 0, err
		}
		return resp.Msg.GetFence(), nil
	})
	source, fence, ok := read.Result()
	known := ok && fence > 0
	s.log.Info("fencing number asked of entries", "job", job, "known", known, "fence", fence, "source", source,
		"answers", read.Answers(), "needed", read.Needed(), "entries", read.Voters())
	return fence, known
}
