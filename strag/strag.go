// Package strag decides which attempt of a step's samples begins next: the order
// of the first attempts, and near the step's end which straggler is stopped and
// continued on another worker.
//
// It answers a load of long work among short: a step is whole when its last
// sample is, lengths differ by more than ten times, and some workers are slow or
// stand still. Without it a long sample that begins last, or one on a slow
// worker, runs alone while the trainer and nearly all slots are idle; one would
// notice a step's p99 at several times its median. Measured on steps of 4,096
// samples with 5% slow workers, p99 is 255 s against 643 s first come, first
// served; the figures and sweeps are in docs/measured/rollouts.md.
//
// There are no spare attempts beside a straggler that runs on: measured against
// moving it, they threw tokens away and a step was whole no sooner.
package strag

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/slot"
	"github.com/lavendermux/lavendermux/start"
)

const (
	// defaultMoves is how often one sample may be moved: with 5% slow workers and
	// 20% that stand still once, a step's p99 was 490 s with one move, 442 s with
	// two and 277 s with four.
	defaultMoves  = 4
	defaultResume = 2 * time.Second
	// defaultGain, from 1.2 to 2, changed no figure beyond the spread; 2 moves the
	// fewest.
	defaultGain = 2.0
	// defaultStill is longer than the prefill of a long prompt; 5 s measured the
	// same.
	defaultStill = 10 * time.Second
	// residual is the expected rest of a sample that has outgrown its estimate,
	// as a share of what it has made: of lengths with a heavy tail, the rest
	// grows with the age. A quarter measured the same; with 1 the p99 with workers
	// that stand still rose from 272 to 304 s.
	residual = 0.5
	// guess is how many finished siblings the sender's own estimate is worth.
	guess = 1
	// few is up to how many picks a scan each is cheaper than sorting 4,096.
	few = 8
	// ahead is more tokens than any sample has.
	ahead = 1e9
)

type (
	// Planner decides about one step. It keeps no state between calls but
	// buffers, so one call may run at a time.
	Planner struct {
		moves  int
		resume time.Duration
		gain   float64
		still  time.Duration

		mean   float64
		sums   []float64
		counts []float64
		lines  []line
		speeds []float64
	}

	// line is a slot that could begin, with what orders it.
	line struct {
		slot   int
		weight float64
	}
)

// New returns a planner.
//
//	p := strag.New(strag.WithMoves(2))
//	starts := p.Next(slots, free, now)
func New(opts ...Option) *Planner {
	p := &Planner{
		moves:  defaultMoves,
		resume: defaultResume,
		gain:   defaultGain,
		still:  defaultStill,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Next returns at most free attempts to begin now, in the order in which they
// are to begin. Slots that wait go first, the longest before the others; what is
// left of free goes to stragglers.
func (p *Planner) Next(slots []slot.Slot, free int, now time.Time) []start.Start {
	if free <= 0 {
		return nil
	}
	p.learn(slots)
	starts := p.waiting(slots, free)
	if len(starts) == free {
		return starts
	}
	return append(starts, p.stragglers(slots, free-len(starts), now)...)
}

// Expected returns the length in tokens that slot i was expected to have at the
// last call of Next: the sender's guess, corrected by finished siblings. It is 0
// when nothing is known.
func (p *Planner) Expected(s *slot.Slot) float64 {
	sum, n := 0.0, 0.0
	if s.Group < len(p.sums) {
		sum, n = p.sums[s.Group], p.counts[s.Group]
	}
	if s.Expected > 0 {
		sum, n = sum+guess*float64(s.Expected), n+guess
	}
	if n == 0 {
		return p.mean
	}
	return sum / n
}

// learn sums the lengths of finished samples, for each group and over all.
func (p *Planner) learn(slots []slot.Slot) {
	groups := 0
	for i := range slots {
		groups = max(groups, slots[i].Group+1)
	}
	p.sums = slices.Grow(p.sums[:0], groups)[:groups]
	p.counts = slices.Grow(p.counts[:0], groups)[:groups]
	clear(p.sums)
	clear(p.counts)
	total, n := 0.0, 0.0
	for i := range slots {
		s := &slots[i]
		if !s.Done {
			p.outgrown(s)
			continue
		}
		p.sums[s.Group] += float64(s.Tokens)
		p.counts[s.Group]++
		total += float64(s.Tokens)
		n++
	}
	p.mean = total / max(1, n)
}

// outgrown counts a sample that already is longer than guessed. Its siblings
// would otherwise pass for short until it ends, and begin last.
func (p *Planner) outgrown(s *slot.Slot) {
	guessed := p.mean
	if s.Expected > 0 {
		guessed = float64(s.Expected)
	}
	for _, r := range s.Runs {
		if float64(r.Made) > guessed {
			p.sums[s.Group] += (1 + residual) * float64(r.Made)
			p.counts[s.Group]++
		}
	}
}

// waiting picks the slots with the most tokens still to make.
func (p *Planner) waiting(slots []slot.Slot, free int) []start.Start {
	p.lines = p.lines[:0]
	for i := range slots {
		s := &slots[i]
		if !s.Waiting() {
			continue
		}
		rest := p.rest(s, s.Tokens)
		if first(slots, i) {
			rest += ahead
		}
		p.lines = append(p.lines, line{slot: i, weight: rest})
	}
	n := min(free, len(p.lines))
	p.order(n)
	starts := make([]start.Start, 0, n)
	for _, l := range p.lines[:n] {
		starts = append(starts, start.Start{Slot: l.slot})
	}
	return starts
}

// first says whether slot i is the first of its group. One sample of each group
// begins before the second of any: what they turn out to be corrects the guess
// for their siblings while those can still be put in order. Measured with a guess
// that is off by a factor of two, a step's p99 falls from 230 to 215 s.
func first(slots []slot.Slot, i int) bool {
	return i == 0 || slots[i-1].Group != slots[i].Group
}

// stragglers picks attempts that would end sooner elsewhere, the latest first.
// A sample that is merely long is left alone: a second attempt at it would win
// when it comes out shorter, and the trainer would learn from short samples only.
func (p *Planner) stragglers(slots []slot.Slot, free int, now time.Time) []start.Start {
	typical := p.typical(slots)
	if typical == 0 {
		return nil
	}
	p.lines = p.lines[:0]
	for i := range slots {
		s := &slots[i]
		if s.Done || len(s.Runs) == 0 || s.Attempts > p.moves {
			continue
		}
		stay, leave := p.weigh(s, typical, now)
		if stay > p.gain*leave {
			p.lines = append(p.lines, line{slot: i, weight: stay})
		}
	}
	n := min(free, len(p.lines))
	p.order(n)
	starts := make([]start.Start, 0, n)
	for _, l := range p.lines[:n] {
		worker, _, _, _ := slots[l.slot].Furthest()
		starts = append(starts, start.Start{Slot: l.slot, Stop: worker, Avoid: worker})
	}
	return starts
}

// weigh returns the seconds until the furthest attempt of s ends where it runs,
// and until one ends that continues it on a worker of typical speed.
func (p *Planner) weigh(s *slot.Slot, typical float64, now time.Time) (stay, leave float64) {
	_, since, made, speed := s.Furthest()
	rest := p.rest(s, made)
	leave = p.resume.Seconds() + rest/typical
	if now.Sub(since) < p.still {
		// The speed of an attempt that has just begun is that of its prefill;
		// judged by it, every start would be moved at once.
		return 0, leave
	}
	if speed <= 0 {
		return (p.gain + 1) * leave, leave
	}
	return rest / speed, leave
}

// rest returns the tokens that s still needs after made.
func (p *Planner) rest(s *slot.Slot, made int64) float64 {
	rest := p.Expected(s) - float64(made)
	return max(rest, residual*float64(made))
}

// typical returns the median speed of the attempts under way.
func (p *Planner) typical(slots []slot.Slot) float64 {
	p.speeds = p.speeds[:0]
	for i := range slots {
		for _, r := range slots[i].Runs {
			if r.Speed > 0 {
				p.speeds = append(p.speeds, r.Speed)
			}
		}
	}
	if len(p.speeds) == 0 {
		return 0
	}
	slices.Sort(p.speeds)
	return p.speeds[len(p.speeds)/2]
}

// order brings the n heaviest lines to the front, in order. Few of many are
// picked without sorting all: at 4,096 samples a step nearly every call is for
// the one slot that has come free.
func (p *Planner) order(n int) {
	if n > few {
		slices.SortFunc(p.lines, compare)
		return
	}
	for k := range n {
		best := k
		for i := k + 1; i < len(p.lines); i++ {
			if compare(p.lines[i], p.lines[best]) < 0 {
				best = i
			}
		}
		p.lines[k], p.lines[best] = p.lines[best], p.lines[k]
	}
}

func compare(a, b line) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.slot, b.slot))
}
