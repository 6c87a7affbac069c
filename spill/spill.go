// Package spill keeps finished results on several disks while the metadata store is away.
//
// A holder lists a result once the store has it. While the store is silent, finished steps
// would wait for as long as that lasts, with trainers idle. The holder then appends the
// results to copies on as many data instances as may be lost at once, and one more; each
// syncs them before it answers, and what all have is listed. Agreement stays with the
// store: which instances have the copies stands in the submission's record, and who holds
// it is decided there only. A successor seals a copy before it goes on (package seal).
package spill

import (
	"context"
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
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/walog"
)

const (
	path = "/lavendermux.Copies/Change"

	opAppend = "append"
	opSeal   = "seal"
	opDrop   = "drop"

	// callTime bounds one call: a sync takes 5 ms, and some 3 MB of a step's texts
	// go over a link of 60 Mbit/s in 0.4 s.
	callTime = time.Second
	// sealPatience is how long a successor asks for a copy that it doesn't reach. All
	// processes may be killed at once, and are back within a second.
	sealPatience = 5 * time.Second
	sealPause    = 150 * time.Millisecond
	// emptyPatience is how long an instance that is to be emptied waits for holders to
	// have the store keep what is here.
	emptyPatience = 3 * time.Second
	emptyPause    = 100 * time.Millisecond
)

type (
	// Spill is the copies of a deployment, as one instance uses and serves them. See New.
	Spill struct {
		mesh   *mesh.Mesh
		logger *log.Logger
		copies int
		dir    *walog.Dir
	}

	// Option changes a Spill as New makes it.
	Option func(*Spill)

	// FewError says that not all copies of a submission took something.
	FewError struct {
		ID           string
		Taken, Asked int
		Cause        error
	}

	request struct {
		Op string `json:"op"`
		ID string `json:"id"`
		// Disk is the disk that is meant; another one refuses.
		Disk    string         `json:"disk"`
		Epoch   int64          `json:"epoch"`
		From    int            `json:"from,omitempty"`
		Kept    int            `json:"kept,omitempty"`
		Results []batch.Result `json:"results,omitempty"`
	}

	response struct {
		// Fenced is the later epoch that is known; 0 if there is none.
		Fenced  int64          `json:"fenced,omitempty"`
		Refused string         `json:"refused,omitempty"`
		Results []batch.Result `json:"results,omitempty"`
	}
)

// Error names the submission and the cause.
func (e *FewError) Error() string {
	return errors.Wrapf(e.Cause, "batch %s: %d of %d copies", e.ID, e.Taken, e.Asked).Error()
}

// Unwrap returns the cause.
func (e *FewError) Unwrap() error { return e.Cause }

// New returns the copies that are reached over m. copies is how many each submission has;
// lost is how many disks may be lost at once.
//
//	s := spill.New(m, logger, lost, spill.WithDir(dir))
//	copies := s.Choose("b1", nil)
func New(m *mesh.Mesh, logger *log.Logger, lost int, opts ...Option) *Spill {
	s := &Spill{mesh: m, logger: logger, copies: lost + 1}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithDir has this instance serve copies from a disk. The default serves none.
func WithDir(d *walog.Dir) Option {
	return func(s *Spill) { s.dir = d }
}

// Mount serves the holders.
func (s *Spill) Mount(mux *http.ServeMux) {
	if s.dir != nil {
		mux.Handle(path, mesh.Handle(path, s.serve))
	}
}

// Choose returns where the copies of a submission should be: where they are, if all of
// these live; otherwise on instances in different data centres, as far as there are
// enough. It returns none if fewer disks live than there should be copies.
func (s *Spill) Choose(id string, now []batch.Copy) []batch.Copy {
	disks := slices.DeleteFunc(s.mesh.Alive(), func(n mesh.Node) bool { return n.Disk == "" })
	if len(now) >= s.copies && len(s.find(disks, now)) == len(now) {
		return now
	}
	order := rendez.Order(id, disks, func(n mesh.Node) string { return n.Name })
	var out []batch.Copy
	taken, centres := make(map[string]bool), make(map[string]bool)
	for _, anywhere := range []bool{false, true} {
		for _, n := range order {
			if len(out) == s.copies || taken[n.Name] || (!anywhere && centres[n.DataCentre]) {
				continue
			}
			taken[n.Name], centres[n.DataCentre] = true, true
			out = append(out, batch.Copy{Instance: n.Name, Disk: n.Disk})
		}
	}
	if len(out) < s.copies {
		return nil
	}
	return out
}

// find returns the live instances that have copies on the disks that are meant.
func (s *Spill) find(disks []mesh.Node, copies []batch.Copy) []mesh.Node {
	var out []mesh.Node
	for _, c := range copies {
		i := slices.IndexFunc(disks, func(n mesh.Node) bool { return n.Name == c.Instance && n.Disk == c.Disk })
		if i >= 0 {
			out = append(out, disks[i])
		}
	}
	return out
}

// Append has all copies keep results from a position on, of which the store has kept so
// many. When it returns nil each of them has synced them. Its error is a
// *seal.FencedError when a later holder is known, and else a *FewError.
func (s *Spill) Append(ctx context.Context, id string, epoch int64, copies []batch.Copy, from, kept int, results []batch.Result) error {
	answers := s.askAll(ctx, copies, request{Op: opAppend, ID: id, Epoch: epoch, From: from, Kept: kept, Results: results})
	return few(id, copies, answers)
}

// Seal has earlier holders refused, and returns the results from a position on that one of
// the copies has. It goes on asking for sealPatience; after that, or if every copy's disk
// is known to be gone, it returns a *FewError.
func (s *Spill) Seal(ctx context.Context, id string, epoch int64, copies []batch.Copy, after int) ([]batch.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, sealPatience)
	defer cancel()
	for {
		answers := s.askAll(ctx, copies, request{Op: opSeal, ID: id, Epoch: epoch, From: after})
		if i := longest(answers); i >= 0 {
			return answers[i].results, nil
		}
		var fenced *seal.FencedError
		err := few(id, copies, answers)
		if errors.As(err, &fenced) || !sleep.For(ctx, sealPause) {
			return nil, err
		}
	}
}

// Drop has the copies forget what the store has. A copy that doesn't hear it keeps it
// until its log is overdue.
func (s *Spill) Drop(ctx context.Context, id string, epoch int64, copies []batch.Copy) {
	answers := s.askAll(ctx, copies, request{Op: opDrop, ID: id, Epoch: epoch})
	s.logger.Info("Copies dropped.", "batch", id, "epoch", epoch, "error", few(id, copies, answers))
}

// answer is what one copy said.
type answer struct {
	results []batch.Result
	err     error
}

func (s *Spill) askAll(ctx context.Context, copies []batch.Copy, in request) []answer {
	disks := s.mesh.Alive()
	answers := make([]answer, len(copies))
	var wg sync.WaitGroup
	for i, c := range copies {
		wg.Go(func() {
			nodes := s.find(disks, []batch.Copy{c})
			if len(nodes) == 0 {
				answers[i].err = errors.Newf("the disk of %s is not in touch", c.Instance)
				return
			}
			meant := in
			meant.Disk = c.Disk
			answers[i].results, answers[i].err = s.ask(ctx, nodes[0], meant)
		})
	}
	wg.Wait()
	return answers
}

func (s *Spill) ask(ctx context.Context, n mesh.Node, in request) ([]batch.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	res, err := mesh.Call[request, response](ctx, s.mesh.Client(), n.Addr, path, &in)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, n.Name)
	case res.Fenced > 0:
		return nil, &seal.FencedError{Asked: in.Epoch, Known: res.Fenced}
	case res.Refused != "":
		return nil, errors.Newf("%s: %s", n.Name, res.Refused)
	}
	return res.Results, nil
}

// few returns nil if all copies answered. That a later holder is known goes before all
// other errors.
func few(id string, copies []batch.Copy, answers []answer) error {
	err := &FewError{ID: id, Asked: len(copies)}
	for _, a := range answers {
		var fenced *seal.FencedError
		switch {
		case a.err == nil:
			err.Taken++
		case errors.As(a.err, &fenced):
			return fenced
		default:
			err.Cause = a.err
		}
	}
	if err.Taken == len(copies) {
		return nil
	}
	return err
}

// longest returns the answer with most results, or -1 if there is none.
func longest(answers []answer) int {
	best := -1
	for i, a := range answers {
		if a.err == nil && (best < 0 || len(a.results) > len(answers[best].results)) {
			best = i
		}
	}
	return best
}

// serve changes a copy on this instance's disk.
func (s *Spill) serve(_ context.Context, in *request) (*response, error) {
	if in.Disk != s.dir.Disk() {
		return &response{Refused: "another disk is here"}, nil
	}
	out := &response{}
	var err error
	switch in.Op {
	case opAppend:
		err = s.dir.Append(in.ID, in.Epoch, in.From, in.Kept, in.Results)
	case opSeal:
		out.Results, err = s.dir.Seal(in.ID, in.Epoch, in.From)
	case opDrop:
		err = s.dir.Drop(in.ID, in.Epoch)
	default:
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("unknown operation %q", in.Op))
	}
	var fenced *seal.FencedError
	switch {
	case errors.As(err, &fenced):
		out.Fenced = fenced.Known
	case err != nil:
		s.logger.Error("Copy not changed.", "batch", in.ID, "op", in.Op, "epoch", in.Epoch, "from", in.From, "error", err)
		out.Refused = err.Error()
	case in.Op == opAppend:
		s.logger.Info("Copy kept.", "batch", in.ID, "epoch", in.Epoch, "from", in.From, "results", len(in.Results))
	}
	return out, nil
}

// Empty takes no results any more, and waits until the store has those that are here.
func (s *Spill) Empty(ctx context.Context) {
	if s.dir == nil {
		return
	}
	s.dir.Close()
	until := time.Now().Add(emptyPatience)
	for s.dir.Waiting() > 0 && time.Now().Before(until) && sleep.For(ctx, emptyPause) {
	}
	s.logger.Info("Copies emptied.", "waiting", s.dir.Waiting())
}
