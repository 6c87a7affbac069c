// Package replog is a replicated log for finished results while the metadata store is
// unavailable.
//
// A batch's owner lists a result once the store has it. During an outage of the store,
// finished steps would wait until it ends, with trainers idle. The owner then appends the
// results to replicas on several data instances. Each replica syncs them before it replies,
// and a result is listed once it is on one more disk than may be lost at once. There are
// more replicas than that, if there are enough disks, so that losing a data instance during
// the outage delays nothing. Consensus stays with the store: the batch's record there names
// the instances with replicas, and only the store decides who owns the batch. Before it
// continues, a successor seals all replicas but as many as may be lost (package seal).
package replog

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/seal"
	"github.com/lavendermux/lavendermux/walog"
)

const (
	changePath = "/lavendermux.Copies/Change"

	opAppend = "append"
	opSeal   = "seal"
	opDrop   = "drop"

	// callTimeout bounds one call: a sync takes 5 ms, and some 3 MB for a step's texts
	// take 0.4 s over a link of 60 Mbit/s.
	callTimeout = time.Second
)

type (
	// Log is one instance's client and server of replicas. See New.
	Log struct {
		mesh   *mesh.Mesh
		logger *log.Logger
		// maxLostDisks is the number of disks that may be lost at once.
		maxLostDisks int
		dir          *walog.Dir
		// isRetiring reports whether the operator wants an instance emptied.
		isRetiring func(instance string) bool
		retired    retiredDisks
	}

	// Option configures a Log in New.
	Option func(*Log)

	// QuorumError means that too few replicas of a batch carried out an operation.
	QuorumError struct {
		ID           string
		Acked, Total int
		Cause        error
	}

	request struct {
		Op string `json:"op"`
		ID string `json:"id"`
		// Disk is the ID of the intended disk; another disk refuses the request.
		Disk    string         `json:"disk"`
		Epoch   int64          `json:"epoch"`
		From    int            `json:"from,omitempty"`
		Stored  int            `json:"kept,omitempty"`
		Results []batch.Result `json:"results,omitempty"`
		// Confirm is set in a question of Confirm, which a closed disk refuses: a seal may leave out
		// one that was emptied.
		Confirm bool `json:"confirm,omitempty"`
	}

	response struct {
		// Fenced is the replica's epoch if it is later than the request's; else 0.
		Fenced  int64          `json:"fenced,omitempty"`
		Refused string         `json:"refused,omitempty"`
		Results []batch.Result `json:"results,omitempty"`
		// ResultsEpoch is the epoch of the owner that appended the results.
		ResultsEpoch int64 `json:"of,omitempty"`
		// Gap is set if the replica lacks results before those in the request.
		Gap bool `json:"gap,omitempty"`
	}
)

var errGap = errors.New("results before these are missing")

// Error names the batch, the number of successes and the cause.
func (e *QuorumError) Error() string {
	return errors.Wrapf(e.Cause, "batch %s: %d of %d copies succeeded", e.ID, e.Acked, e.Total).Error()
}

// Unwrap returns the cause.
func (e *QuorumError) Unwrap() error { return e.Cause }

// New returns a Log that reaches replicas over m. maxLostDisks is the number of disks that
// may be lost at once.
//
//	s := replog.New(m, logger, 1, replog.WithDir(dir))
//	replicas := s.Choose("b1", nil)
func New(m *mesh.Mesh, logger *log.Logger, maxLostDisks int, opts ...Option) *Log {
	s := &Log{mesh: m, logger: logger, maxLostDisks: maxLostDisks, isRetiring: func(string) bool { return false },
		retired: retiredDisks{known: make(map[string]bool)}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithDir makes this instance serve replicas from a disk. By default it serves none.
func WithDir(d *walog.Dir) Option {
	return func(s *Log) { s.dir = d }
}

// WithRetiring sets f, which reports whether the operator wants an instance emptied. Such an
// instance gets no new replicas. By default there is none.
func WithRetiring(f func(instance string) bool) Option {
	return func(s *Log) { s.isRetiring = f }
}

// Mount registers the handler of owners' requests, if this instance has a disk.
func (s *Log) Mount(mux *http.ServeMux) {
	if s.dir != nil {
		mux.Handle(changePath, mesh.Handle(changePath, s.serve))
	}
}

// quorum returns the number of replicas that must have a result before it is listed.
func (s *Log) quorum() int { return s.maxLostDisks + 1 }

// Choose returns where the replicas of a batch should be. It returns the current ones if
// they are all live and there aren't disks for more, and otherwise spreads them over
// data centres if possible. There are as many replicas beyond the quorum as disks may be
// lost, so that losing these delays nothing. Instances that are to be emptied get none. If too few
// disks are live, it returns nil, and the current replicas may stay. If one of these is to be
// emptied, it returns an empty slice instead: there must be none then.
func (s *Log) Choose(id string, current []batch.Replica) []batch.Replica {
	disks := slices.DeleteFunc(s.liveDisks(), func(n mesh.Node) bool { return s.isRetiring(n.Name) })
	want := min(len(disks), s.quorum()+s.maxLostDisks)
	if len(current) >= want && len(s.locate(disks, current)) == len(current) {
		return current
	}
	if want < s.quorum() {
		if slices.ContainsFunc(current, func(c batch.Replica) bool { return s.isRetiring(c.Instance) }) {
			return []batch.Replica{}
		}
		return nil
	}
	order := rendez.Order(id, disks, func(n mesh.Node) string { return n.Name })
	var out []batch.Replica
	used, dataCentres := make(map[string]bool), make(map[string]bool)
	for _, anyDataCentre := range []bool{false, true} {
		for _, n := range order {
			if len(out) == want || used[n.Name] || (!anyDataCentre && dataCentres[n.DataCentre]) {
				continue
			}
			used[n.Name], dataCentres[n.DataCentre] = true, true
			out = append(out, batch.Replica{Instance: n.Name, Disk: n.Disk})
		}
	}
	return out
}

// liveDisks returns the live instances with a disk, this one included.
func (s *Log) liveDisks() []mesh.Node {
	all := append(s.mesh.Alive(), s.mesh.Self())
	return slices.DeleteFunc(all, func(n mesh.Node) bool { return n.Disk == "" })
}

// locate returns the instances of disks that have the replicas' disks. It leaves out an
// instance whose disk was replaced.
func (s *Log) locate(liveDisks []mesh.Node, replicas []batch.Replica) []mesh.Node {
	var out []mesh.Node
	for _, c := range replicas {
		i := slices.IndexFunc(liveDisks, func(n mesh.Node) bool { return n.Name == c.Instance && n.Disk == c.Disk })
		if i >= 0 {
			out = append(out, liveDisks[i])
		}
	}
	return out
}

// Append appends to the replicas the results after the first stored ones, which the store
// has; those before position from were appended earlier. When it returns nil, one more
// replica than disks may be lost has synced them; the others may still be at it, since one
// that is frozen must not hold up the rest. It returns a *seal.FencedError if a replica knows
// a later owner, and otherwise a *QuorumError.
func (s *Log) Append(ctx context.Context, id string, epoch int64, replicas []batch.Replica, from, stored int, results []batch.Result) error {
	req := request{Op: opAppend, ID: id, Epoch: epoch, From: from, Stored: stored, Results: results[from-stored:]}
	liveDisks := s.liveDisks()
	return awaitQuorum(id, replicas, s.quorum(), func(c batch.Replica) reply {
		r := s.callReplica(ctx, liveDisks, c, req)
		if errors.Is(r.err, errGap) {
			// It was out of reach when the others accepted the earlier results.
			all := req
			all.From, all.Results = stored, results
			r = s.callReplica(ctx, liveDisks, c, all)
		}
		return r
	})
}

// Probe returns nil if enough of the replicas for a seal answer, and otherwise the same errors
// as Append. epoch is that of the present owner, whose appends go on.
func (s *Log) Probe(ctx context.Context, id string, epoch int64, replicas []batch.Replica) error {
	replicas = s.existing(ctx, s.liveDisks(), replicas)
	return s.probe(ctx, replicas, s.sealQuorum(replicas), request{ID: id, Epoch: epoch})
}

// Confirm returns nil if no later owner had sealed the replicas when it was called, and otherwise the
// same errors as Append. It asks one more of them than a seal may leave out.
func (s *Log) Confirm(ctx context.Context, id string, epoch int64, replicas []batch.Replica) error {
	return s.probe(ctx, replicas, s.quorum(), request{ID: id, Epoch: epoch, Confirm: true})
}

// probe asks the replicas of the owner with this epoch, whose appends go on.
func (s *Log) probe(ctx context.Context, replicas []batch.Replica, need int, req request) error {
	req.Op, req.From = opSeal, math.MaxInt32 // after all results
	liveDisks := s.liveDisks()
	return awaitQuorum(req.ID, replicas, need, func(c batch.Replica) reply { return s.callReplica(ctx, liveDisks, c, req) })
}

// awaitQuorum makes a call to each replica and returns once enough have succeeded, or all have
// ended.
func awaitQuorum(id string, replicas []batch.Replica, need int, call func(batch.Replica) reply) error {
	arrived := make(chan reply, len(replicas))
	for _, c := range replicas {
		go func() { arrived <- call(c) }()
	}
	var replies []reply
	for acked := 0; len(replies) < len(replicas) && acked < need; {
		r := <-arrived
		replies = append(replies, r)
		if r.err == nil {
			acked++
		}
	}
	return checkQuorum(id, replies, need)
}

// sealQuorum returns the number of existing replicas that a seal must reach: all but as many as may
// be lost.
func (s *Log) sealQuorum(existing []batch.Replica) int {
	return min(len(existing), max(1, len(existing)-s.maxLostDisks))
}

// Seal makes the replicas refuse owners with an earlier epoch. It returns all listed
// results from position after on, followed by any others that the last owner appended. Its
// errors are those of Append; after any of them some replicas may be sealed, and the caller must
// not continue the batch.
func (s *Log) Seal(ctx context.Context, id string, epoch int64, replicas []batch.Replica, after int) ([]batch.Result, error) {
	replicas = s.existing(ctx, s.liveDisks(), replicas)
	replies := s.callAll(ctx, replicas, request{Op: opSeal, ID: id, Epoch: epoch, From: after})
	if err := checkQuorum(id, replies, s.sealQuorum(replicas)); err != nil {
		return nil, err
	}
	return newestResults(replies), nil
}

// Drop deletes the batch's results from the replicas, once the store has the first stored
// ones. A replica that can't be reached keeps them until its log expires.
func (s *Log) Drop(ctx context.Context, id string, epoch int64, replicas []batch.Replica, stored int) {
	replies := s.callAll(ctx, replicas, request{Op: opDrop, ID: id, Epoch: epoch, Stored: stored})
	s.logger.Info("Replicas dropped.", "batch", id, "epoch", epoch, "stored", stored, "error", checkQuorum(id, replies, len(replicas)))
}

// reply is the outcome of a call to one replica.
type reply struct {
	results      []batch.Result
	resultsEpoch int64
	err          error
}

func (s *Log) callAll(ctx context.Context, replicas []batch.Replica, req request) []reply {
	liveDisks := s.liveDisks()
	replies := make([]reply, len(replicas))
	var wg sync.WaitGroup
	for i, c := range replicas {
		wg.Go(func() { replies[i] = s.callReplica(ctx, liveDisks, c, req) })
	}
	wg.Wait()
	return replies
}

// callReplica makes a call to one replica, if the instance with its disk is live.
func (s *Log) callReplica(ctx context.Context, liveDisks []mesh.Node, c batch.Replica, req request) reply {
	nodes := s.locate(liveDisks, []batch.Replica{c})
	if len(nodes) == 0 {
		return reply{err: errors.Newf("the disk of %s can't be reached", c.Instance)}
	}
	req.Disk = c.Disk
	return s.call(ctx, nodes[0], req)
}

func (s *Log) call(ctx context.Context, n mesh.Node, req request) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := mesh.Call[request, response](ctx, s.mesh.Client(), n.Addr, changePath, &req)
	switch {
	case err != nil:
		return reply{err: errors.Wrap(err, n.Name)}
	case res.Fenced > 0:
		return reply{err: &seal.FencedError{RequestEpoch: req.Epoch, ReplicaEpoch: res.Fenced}}
	case res.Gap:
		return reply{err: errGap}
	case res.Refused != "":
		return reply{err: errors.Newf("%s: %s", n.Name, res.Refused)}
	}
	return reply{results: res.Results, resultsEpoch: res.ResultsEpoch}
}

// checkQuorum returns nil if at least need replies succeeded. A *seal.FencedError takes
// precedence over all else.
func checkQuorum(id string, replies []reply, need int) error {
	err := &QuorumError{ID: id, Total: len(replies)}
	for _, a := range replies {
		var fenced *seal.FencedError
		switch {
		case a.err == nil:
			err.Acked++
		case errors.As(a.err, &fenced):
			return fenced
		default:
			err.Cause = a.err
		}
	}
	if err.Acked >= need {
		return nil
	}
	return err
}

// newestResults returns the results of the latest epoch, and the longest of these: each
// replica has a prefix of them, and at least one has all that were listed.
func newestResults(replies []reply) []batch.Result {
	var best reply
	for _, a := range replies {
		if a.err == nil && (a.resultsEpoch > best.resultsEpoch || (a.resultsEpoch == best.resultsEpoch && len(a.results) > len(best.results))) {
			best = a
		}
	}
	return best.results
}

// serve carries out a request on this instance's disk.
func (s *Log) serve(_ context.Context, req *request) (*response, error) {
	if req.Disk != s.dir.Disk() {
		return &response{Refused: "another disk is here"}, nil
	}
	if req.Confirm && s.dir.IsClosed() {
		return &response{Refused: (&walog.ClosedError{}).Error()}, nil
	}
	out := &response{}
	var err error
	switch req.Op {
	case opAppend:
		err = s.dir.Append(req.ID, req.Epoch, req.From, req.Stored, req.Results)
	case opSeal:
		out.Results, out.ResultsEpoch, err = s.dir.Seal(req.ID, req.Epoch, req.From)
	case opDrop:
		err = s.dir.Drop(req.ID, req.Epoch, req.Stored)
	default:
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("unknown operation %q", req.Op))
	}
	var fenced *seal.FencedError
	var gap *seal.GapError
	switch {
	case errors.As(err, &fenced):
		out.Fenced = fenced.ReplicaEpoch
	case errors.As(err, &gap):
		out.Gap = true
	case err != nil:
		s.logger.Error("Replica operation failed.", "batch", req.ID, "op", req.Op, "epoch", req.Epoch, "from", req.From, "error", err)
		out.Refused = err.Error()
	case req.Op == opAppend:
		s.logger.Info("Results kept by replica.", "batch", req.ID, "epoch", req.Epoch, "from", req.From, "results", len(req.Results))
	}
	return out, nil
}

// CloseDisk makes this instance refuse results for good. Those on its disk can still be read and
// dropped.
func (s *Log) CloseDisk() error {
	if s.dir == nil {
		return nil
	}
	return s.dir.Close()
}

// Pending returns the IDs of the batches and other logs with results on this instance's disk that may
// not be in the store yet. One whose drop was lost stays among them.
func (s *Log) Pending() []string {
	if s.dir == nil {
		return nil
	}
	return s.dir.Pending()
}
