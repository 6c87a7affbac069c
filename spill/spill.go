// Package spill keeps finished results on several disks while the metadata store is away.
//
// A holder lists a result once the store has it. While the store is silent, finished steps
// would wait for as long as that lasts, with trainers idle. The holder then appends the
// results to copies on several data instances; each syncs them before it answers, and what
// one more has than may be lost at once is listed. There are more copies than that, as far
// as there are disks: a data instance that is lost in the outage holds nothing up.
// Agreement stays with the store: which instances have the copies stands in the
// submission's record, and who holds it is decided there only. A successor seals all
// copies but as many as may be lost before it goes on (package seal).
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
		// lost is how many disks may be lost at once.
		lost int
		dir  *walog.Dir
	}

	// Option changes a Spill as New makes it.
	Option func(*Spill)

	// FewError says that too few copies of a submission took something.
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
		// Of is the epoch of the holder that the results are of.
		Of int64 `json:"of,omitempty"`
		// Gap says that the copy lacks results before those that it was sent.
		Gap bool `json:"gap,omitempty"`
	}
)

var errGap = errors.New("results before these are missing")

// Error names the submission and the cause.
func (e *FewError) Error() string {
	return errors.Wrapf(e.Cause, "batch %s: %d of %d copies", e.ID, e.Taken, e.Asked).Error()
}

// Unwrap returns the cause.
func (e *FewError) Unwrap() error { return e.Cause }

// New returns the copies that are reached over m; lost is how many disks may be lost at
// once.
//
//	s := spill.New(m, logger, lost, spill.WithDir(dir))
//	copies := s.Choose("b1", nil)
func New(m *mesh.Mesh, logger *log.Logger, lost int, opts ...Option) *Spill {
	s := &Spill{mesh: m, logger: logger, lost: lost}
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

// quorum is how many copies have what is listed.
func (s *Spill) quorum() int { return s.lost + 1 }

// Choose returns where the copies of a submission should be: where they are, if all of
// these live and there are no more disks; otherwise on instances in different data
// centres, as far as there are enough. With as many more copies as disks may be lost,
// losing them holds nothing up. It returns none if too few disks live.
func (s *Spill) Choose(id string, now []batch.Copy) []batch.Copy {
	disks := s.disks()
	wanted := min(len(disks), s.quorum()+s.lost)
	if len(now) >= wanted && len(s.find(disks, now)) == len(now) {
		return now
	}
	if wanted < s.quorum() {
		return nil
	}
	order := rendez.Order(id, disks, func(n mesh.Node) string { return n.Name })
	var out []batch.Copy
	taken, centres := make(map[string]bool), make(map[string]bool)
	for _, anywhere := range []bool{false, true} {
		for _, n := range order {
			if len(out) == wanted || taken[n.Name] || (!anywhere && centres[n.DataCentre]) {
				continue
			}
			taken[n.Name], centres[n.DataCentre] = true, true
			out = append(out, batch.Copy{Instance: n.Name, Disk: n.Disk})
		}
	}
	return out
}

// disks returns the live instances with a disk, with this one if it has one.
func (s *Spill) disks() []mesh.Node {
	all := append(s.mesh.Alive(), s.mesh.Self())
	return slices.DeleteFunc(all, func(n mesh.Node) bool { return n.Disk == "" })
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

// Append has copies keep the results after the kept ones, which the store has; those
// before the position from were appended before. When it returns nil, one more copy has
// synced them than disks may be lost. Its error is a *seal.FencedError when a later holder
// is known, and else a *FewError.
func (s *Spill) Append(ctx context.Context, id string, epoch int64, copies []batch.Copy, from, kept int, results []batch.Result) error {
	in := request{Op: opAppend, ID: id, Epoch: epoch, From: from, Kept: kept, Results: results[from-kept:]}
	answers := s.askAll(ctx, copies, in)
	var behind []batch.Copy
	for i, a := range answers {
		if errors.Is(a.err, errGap) {
			behind = append(behind, copies[i])
		}
	}
	if len(behind) > 0 {
		// These were out of touch when the others took the first results.
		in.From, in.Results = kept, results
		answers = append(slices.DeleteFunc(answers, func(a answer) bool { return errors.Is(a.err, errGap) }), s.askAll(ctx, behind, in)...)
	}
	return few(id, answers, s.quorum())
}

// Seal has earlier holders refused, and returns the results from a position on that were
// listed, and those that the last holder may have appended besides. It goes on asking for
// sealPatience; after that it returns a *FewError, and what it has found.
func (s *Spill) Seal(ctx context.Context, id string, epoch int64, copies []batch.Copy, after int) ([]batch.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, sealPatience)
	defer cancel()
	for {
		answers := s.askAll(ctx, copies, request{Op: opSeal, ID: id, Epoch: epoch, From: after})
		err := few(id, answers, max(1, len(copies)-s.lost))
		var fenced *seal.FencedError
		switch {
		case err == nil:
			return latest(answers), nil
		case errors.As(err, &fenced):
			return nil, err
		case !sleep.For(ctx, sealPause):
			return latest(answers), err
		}
	}
}

// Drop has the copies forget what the store has. A copy that doesn't hear it keeps it
// until its log is overdue.
func (s *Spill) Drop(ctx context.Context, id string, epoch int64, copies []batch.Copy) {
	answers := s.askAll(ctx, copies, request{Op: opDrop, ID: id, Epoch: epoch})
	s.logger.Info("Copies dropped.", "batch", id, "epoch", epoch, "error", few(id, answers, len(copies)))
}

// answer is what one copy said.
type answer struct {
	results []batch.Result
	of      int64
	err     error
}

func (s *Spill) askAll(ctx context.Context, copies []batch.Copy, in request) []answer {
	disks := s.disks()
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
			answers[i] = s.ask(ctx, nodes[0], meant)
		})
	}
	wg.Wait()
	return answers
}

func (s *Spill) ask(ctx context.Context, n mesh.Node, in request) answer {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	res, err := mesh.Call[request, response](ctx, s.mesh.Client(), n.Addr, path, &in)
	switch {
	case err != nil:
		return answer{err: errors.Wrap(err, n.Name)}
	case res.Fenced > 0:
		return answer{err: &seal.FencedError{Asked: in.Epoch, Known: res.Fenced}}
	case res.Gap:
		return answer{err: errGap}
	case res.Refused != "":
		return answer{err: errors.Newf("%s: %s", n.Name, res.Refused)}
	}
	return answer{results: res.Results, of: res.Of}
}

// few returns nil if enough copies answered. That a later holder is known goes before all
// other errors.
func few(id string, answers []answer, enough int) error {
	err := &FewError{ID: id, Asked: len(answers)}
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
	if err.Taken >= enough {
		return nil
	}
	return err
}

// latest returns the results of the latest holder, and of these the most: each copy has
// the first of them, and one has all that was listed.
func latest(answers []answer) []batch.Result {
	var best answer
	for _, a := range answers {
		if a.err == nil && (a.of > best.of || (a.of == best.of && len(a.results) > len(best.results))) {
			best = a
		}
	}
	return best.results
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
		out.Results, out.Of, err = s.dir.Seal(in.ID, in.Epoch, in.From)
	case opDrop:
		err = s.dir.Drop(in.ID, in.Epoch)
	default:
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("unknown operation %q", in.Op))
	}
	var fenced *seal.FencedError
	var gap *seal.GapError
	switch {
	case errors.As(err, &fenced):
		out.Fenced = fenced.Known
	case errors.As(err, &gap):
		out.Gap = true
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
