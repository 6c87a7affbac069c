package seal_test

import (
	"bytes"
	"fmt"
	"hash/maphash"
	"math/bits"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/seal"
)

const (
	// disks is the number of disks, maxLost that of disks that may be lost, appendQuorum that of
	// replicas with each listed result.
	disks        = 4
	maxLost      = 1
	appendQuorum = maxLost + 1
	// owners is the number of successive owners of the batch. Their epochs are their indices plus
	// one.
	owners = 3
	// items is the number of the batch's items, each of which has one result.
	items = 2
	// maxTicks bounds the ticks of the clock, and maxReadStates the states of a search, so that it
	// ends in seconds.
	maxTicks      = 4
	maxReadStates = 800_000
)

// The phases of an owner.
const (
	absent = iota
	sealing
	recovering
	active
)

type (
	// rules are the rules by which reads are answered, and what the deployment is like.
	rules struct {
		// sets are the sets of disks with the replicas: the first one, and the one after a move.
		sets []uint8
		// mayEnd has owners end the batch.
		mayEnd bool
		// owners is the number of owners, if fewer than the maximum.
		owners int
		// isPending has a batch that the store lacks at first: its first owner's write creates the
		// head, and a claim fences it without one.
		isPending bool

		// noConfirmation has owners answer without a confirmation.
		noConfirmation bool
		// sealQuorum has as many replicas confirm as a seal needs.
		sealQuorum bool
		// noDiskCheck has an empty disk answer for the one that was lost.
		noDiskCheck bool
		// whileMoving, whileEnding and whileCompleting have replicas confirm although a write
		// without an answer moves them, ends the batch, or has its last results.
		whileMoving, whileEnding, whileCompleting bool
		// endedHead has a head confirm the owner although it says that the batch has ended.
		endedHead bool
		// absentHead has the lack of a head confirm the owner.
		absentHead bool
		// outdatedHead has the store answer with an earlier head.
		outdatedHead bool
		// validity is the number of ticks for which a confirmation serves; without any, it serves
		// the one read that asked for it. settled is the number of ticks after which a later read
		// must not be shorter.
		validity, settled uint8
	}

	// list is a list of results: the owners that produced them, plus one.
	list struct {
		n  uint8
		by [items]uint8
	}

	// write is a write of the head in flight. It takes effect at any time, if its owner wrote the
	// head last, and is repeated until it is answered.
	write struct {
		isSent, hasEffect, ends, moves bool
		n                              uint8
	}

	ownerState struct {
		phase, set     uint8
		line           list
		stored, listed uint8
		write          write
		isEnding       bool
		knowsEnd       bool
		// confirmedAt is the number of ticks, plus one, when the question was sent whose answer is
		// the last confirmation; 0 if there is none.
		confirmedAt uint8
	}

	// diskState is a replica, and what each owner knows of it.
	diskState struct {
		epoch, of, from, n uint8
		results            [items]uint8
		wiped              bool
		acked              [owners]uint8
	}

	// state is one state of the whole system. It is comparable.
	state struct {
		// epoch is the index of the owner in the head, whose writes alone take effect. set is the
		// index of the set of replicas there. isAbsent is set until the batch is created.
		epoch, set      uint8
		stored          list
		ended, isAbsent bool
		wipes           uint8
		owner           [owners]ownerState
		disk            [disks]diskState
		// observed is the longest list that was read; before has what it was at the last ticks.
		observed list
		before   [2]list
		ticks    uint8
		problem  string
	}

	stepFunc func(name string, do func(n *state))
)

func (l list) first(n uint8) list {
	for i := n; i < l.n; i++ {
		l.by[i] = 0
	}
	l.n = min(l.n, n)
	return l
}

func (l list) add(by ...uint8) list {
	l.n += uint8(copy(l.by[l.n:], by))
	return l
}

func (d diskState) replica() seal.Replica[uint8] {
	return seal.Replica[uint8]{Epoch: int64(d.epoch), ResultsEpoch: int64(d.of), From: int(d.from), Results: slices.Clone(d.results[:d.n])}
}

func (d *diskState) set(r seal.Replica[uint8]) {
	d.epoch, d.of, d.from, d.n, d.results = uint8(r.Epoch), uint8(r.ResultsEpoch), uint8(r.From), uint8(len(r.Results)), [items]uint8{}
	copy(d.results[:], r.Results)
}

// canonical returns the state with its disks in a fixed order, as far as they are in the same sets.
func (s state) canonical(r rules) state {
	class := func(c int) (out uint8) {
		for k, set := range r.sets {
			out |= set >> c & 1 << k
		}
		return out
	}
	for a := range disks {
		for b := a + 1; b < disks; b++ {
			x, y := s.disk[a].bytes(), s.disk[b].bytes()
			if class(a) == class(b) && bytes.Compare(x[:], y[:]) > 0 {
				s.disk[a], s.disk[b] = s.disk[b], s.disk[a]
			}
		}
	}
	return s
}

func (d diskState) bytes() (out [24]byte) {
	b := append(out[:0], d.epoch, d.of, d.from, d.n)
	b = append(append(b, d.results[:]...), d.acked[:]...)
	if d.wiped {
		_ = append(b, 1)
	}
	return out
}

// steps calls visit with every state that can be reached in one step. An outage of the store, a
// late claim and a lost message need no steps of their own: what they delay may happen at any
// later time, or never.
func (s *state) steps(r rules, visit func(name string, n state)) {
	step := func(name string, do func(n *state)) {
		n := *s
		do(&n)
		visit(name, n)
	}
	if s.ended {
		step("read of the ended batch elsewhere", func(n *state) { n.read("elsewhere", n.stored, n.due(r)) })
	}
	if r.validity > 0 && s.ticks < maxTicks {
		step("tick", func(n *state) { n.ticks, n.before = n.ticks+1, [2]list{n.observed, n.before[0]} })
	}
	for c, d := range s.disk {
		if !d.wiped && s.wipes < maxLost {
			step(fmt.Sprint("disk lost of ", c), func(n *state) {
				n.wipes++
				n.disk[c] = diskState{wiped: true, acked: d.acked}
			})
		}
	}
	for i := range r.owners {
		s.writeSteps(i, step)
		switch s.owner[i].phase {
		case absent:
			if i == int(s.epoch)+1 && !s.ended {
				step(fmt.Sprint("claim by ", i), func(n *state) { n.claim(i) })
			}
		case sealing:
			s.sealSteps(i, r, step)
		case active:
			s.resultSteps(i, r, step)
			s.readSteps(i, r, step)
		}
	}
}

// claim makes a successor the owner in the head. It reads the results of that revision, at any time,
// since later writers don't change them. If none is missing, it seals nothing.
func (s *state) claim(i int) {
	s.epoch = uint8(i)
	o := &s.owner[i]
	*o = ownerState{phase: sealing, set: s.set, line: s.stored, stored: s.stored.n, listed: s.stored.n}
	if s.stored.n == items {
		o.phase = active
	}
}

// sealSteps generates the seals of enough replicas. They are one step: what happens at one replica
// doesn't depend on the others, and one that is sealed earlier only refuses more.
func (s *state) sealSteps(i int, r rules, step stepFunc) {
	set := r.sets[s.owner[i].set]
	for some := uint8(1); some < 1<<disks; some++ {
		canSeal := func(c int) bool { return !s.disk[c].wiped && int(s.disk[c].epoch) <= i+1 }
		if some&^set != 0 || bits.OnesCount8(some) < sealQuorumOf(set) || !s.all(some, canSeal) {
			continue
		}
		step(fmt.Sprintf("seal of %04b by %d", some, i), func(n *state) { n.seal(i, some) })
	}
}

// all reports whether all of some disks do.
func (s *state) all(some uint8, does func(c int) bool) bool {
	for c := range s.disk {
		if some>>c&1 != 0 && !does(c) {
			return false
		}
	}
	return true
}

// seal seals some disks. The results found are written to the head before anything is listed.
func (s *state) seal(i int, some uint8) {
	o := &s.owner[i]
	var best []uint8
	bestEpoch := int64(0)
	for c := range s.disk {
		if some>>c&1 == 0 {
			continue
		}
		replica := s.disk[c].replica()
		if tail := replica.ResultsFrom(int(o.line.n)); replica.ResultsEpoch > bestEpoch || (replica.ResultsEpoch == bestEpoch && len(tail) > len(best)) {
			best, bestEpoch = tail, replica.ResultsEpoch
		}
		_ = replica.Seal(int64(i + 1)) // it isn't fenced
		s.disk[c].set(replica)
	}
	o.phase = active
	if len(best) > 0 || s.isAbsent {
		o.line = o.line.add(best...)
		o.phase, o.write = recovering, write{isSent: true, n: o.line.n}
	}
}

func sealQuorumOf(set uint8) int { return max(1, bits.OnesCount8(set)-maxLost) }

// writeSteps generates the effect of a write and its answer.
func (s *state) writeSteps(i int, step stepFunc) {
	w := s.owner[i].write
	if w.isSent && !w.hasEffect && int(s.epoch) == i {
		step(fmt.Sprint("write of ", i), func(n *state) { n.apply(i) })
	}
	if w.hasEffect {
		step(fmt.Sprint("write answered to ", i), func(n *state) { n.answer(i) })
	}
}

func (s *state) apply(i int) {
	o := &s.owner[i]
	o.write.hasEffect = true
	s.stored, s.ended, s.isAbsent = o.line.first(o.write.n), o.write.ends, false
	if o.write.moves {
		s.set = 1
	}
}

func (s *state) answer(i int) {
	o := &s.owner[i]
	w := o.write
	o.phase, o.stored, o.listed, o.write = active, w.n, max(o.listed, w.n), write{}
	o.knowsEnd = w.ends
	if w.moves {
		o.set = 1
	}
}

// resultSteps generates the results of an owner, its writes, and its appends while a write has no
// answer.
func (s *state) resultSteps(i int, r rules, step stepFunc) {
	o := s.owner[i]
	if o.line.n < items && !o.isEnding {
		step(fmt.Sprint("result at ", i), func(n *state) { n.owner[i].line = o.line.add(uint8(i + 1)) })
	}
	enough := s.acked(i, r)
	if !o.write.isSent && !o.knowsEnd {
		w := write{isSent: true, n: o.line.n}
		if o.line.n > o.stored {
			step(fmt.Sprint("write sent by ", i), func(n *state) { n.owner[i].write = w })
		}
		if int(o.set)+1 < len(r.sets) && o.listed <= o.stored && o.stored < items {
			step(fmt.Sprint("write with other replicas sent by ", i), func(n *state) {
				n.owner[i].write = w
				n.owner[i].write.moves = true
				for c := range n.disk { // an append whose answer comes later lists nothing
					n.disk[c].acked[i] = min(n.disk[c].acked[i], o.stored)
				}
			})
		}
		if r.mayEnd {
			step(fmt.Sprint("write with the end sent by ", i), func(n *state) {
				n.owner[i].write, n.owner[i].isEnding = w, true
				n.owner[i].write.ends = true
			})
		}
	}
	if !o.write.isSent || o.write.moves || o.isEnding {
		return
	}
	for c, d := range s.disk {
		if r.sets[o.set]>>c&1 == 0 || o.line.n <= max(o.stored, d.acked[i]) || d.wiped {
			continue
		}
		replica := d.replica()
		if _, err := replica.Append(int64(i+1), int(o.stored), int(o.stored), slices.Clone(o.line.by[o.stored:o.line.n])); err == nil {
			step(fmt.Sprint("append at ", c, " by ", i), func(n *state) { n.disk[c].set(replica); n.disk[c].acked[i] = o.line.n })
		}
	}
	if enough > o.listed {
		step(fmt.Sprint("listed by ", i), func(n *state) { n.owner[i].listed = enough })
	}
}

// acked returns the position before which enough replicas have the results.
func (s *state) acked(i int, r rules) uint8 {
	var acked []uint8
	for c, d := range s.disk {
		if r.sets[s.owner[i].set]>>c&1 != 0 {
			acked = append(acked, d.acked[i])
		}
	}
	slices.Sort(acked)
	return acked[len(acked)-appendQuorum]
}

// readSteps generates the reads at an owner. A confirmation is one step: a replica that answers
// later, or the head, can only refuse more.
func (s *state) readSteps(i int, r rules, step stepFunc) {
	o := s.owner[i]
	read := func(n *state) { n.read(fmt.Sprint("at ", i), o.line.first(o.listed), n.due(r)) }
	switch canConfirm := s.isConfirmed(i, r); {
	case o.listed == items || o.knowsEnd || r.noConfirmation:
		step(fmt.Sprint("read at ", i), read)
	case r.validity == 0 && canConfirm != "":
		step(fmt.Sprint("read at ", i, ", confirmed by ", canConfirm), read)
	case r.validity > 0:
		if canConfirm != "" && o.confirmedAt != s.ticks+1 {
			step(fmt.Sprint(i, " confirmed by ", canConfirm), func(n *state) { n.owner[i].confirmedAt = n.ticks + 1 })
		}
		if o.confirmedAt > 0 && s.ticks+1-o.confirmedAt <= r.validity {
			step(fmt.Sprint("read at ", i), read)
		}
	}
}

// isConfirmed returns what confirms an owner now; "" if nothing does.
func (s *state) isConfirmed(i int, r rules) string {
	o := s.owner[i]
	isInHead := int(s.epoch) == i && !s.isAbsent && (!s.ended || r.endedHead)
	if isInHead || r.outdatedHead || (s.isAbsent && r.absentHead) {
		return "the head"
	}
	w := o.write
	if w.isSent && ((w.moves && !r.whileMoving) || (w.ends && !r.whileEnding) || (w.n == items && !r.whileCompleting)) {
		return ""
	}
	confirmed, need := 0, appendQuorum
	if r.sealQuorum {
		need = sealQuorumOf(r.sets[o.set])
	}
	for c, d := range s.disk {
		if r.sets[o.set]>>c&1 != 0 && int(d.epoch) <= i+1 && (!d.wiped || r.noDiskCheck) {
			confirmed++
		}
	}
	if confirmed < need {
		return ""
	}
	return "replicas"
}

// due returns what a read that begins now must return.
func (s *state) due(r rules) list {
	if r.settled == 0 {
		return s.observed
	}
	return s.before[r.settled-1]
}

// read has a reader get a page that must have all of floor.
func (s *state) read(where string, page, floor list) {
	common := min(page.n, s.observed.n)
	switch {
	case page.first(common) != s.observed.first(common):
		s.problem = fmt.Sprintf("a read %s returns %v, and %v was read", where, page.by[:page.n], s.observed.by[:s.observed.n])
	case page.n < floor.n:
		s.problem = fmt.Sprintf("a read %s returns %v, and %v had been read before it began", where, page.by[:page.n], floor.by[:floor.n])
	case page.n > s.observed.n:
		s.observed = page
	}
}

// searchReads visits the reachable states breadth-first, up to maxReadStates, and returns the steps
// to the first read that returns less than an earlier one. isAll reports whether it has visited
// all states. States are known by a hash of 128 bits.
func searchReads(r rules) (trace []string, states, depth int, isAll bool) {
	type visited struct {
		from int
		name string
	}
	if r.owners == 0 {
		r.owners = owners
	}
	var start state
	start.owner[0].phase = active
	start.isAbsent, start.owner[0].write.isSent = r.isPending, r.isPending
	for c := range start.disk { // disks in no set don't matter
		start.disk[c].wiped = !slices.ContainsFunc(r.sets, func(set uint8) bool { return set>>c&1 != 0 })
	}
	queue, path := []state{start}, []visited{{from: -1}}
	seeds := [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}
	hash := func(s state) [2]uint64 {
		return [2]uint64{maphash.Comparable(seeds[0], s), maphash.Comparable(seeds[1], s)}
	}
	seen := map[[2]uint64]struct{}{hash(start): {}}
	end, found, i := 1, -1, 0
	for ; i < len(queue) && found < 0 && len(queue) < maxReadStates; i++ {
		if i == end {
			end = len(queue)
			depth++
		}
		s := queue[i]
		s.steps(r, func(name string, n state) {
			n = n.canonical(r)
			h := hash(n)
			if _, ok := seen[h]; ok || found >= 0 {
				return
			}
			seen[h] = struct{}{}
			queue, path = append(queue, n), append(path, visited{from: i, name: name})
			if n.problem != "" {
				found = len(queue) - 1
				trace = append(trace, n.problem)
			}
		})
	}
	for k := found; k > 0; k = path[k].from {
		trace = append([]string{path[k].name}, trace...)
	}
	return trace, len(queue), depth, found < 0 && i == len(queue)
}

// The sets of disks with the replicas.
var (
	threeReplicas = []uint8{0b0111}
	twoReplicas   = []uint8{0b0011}
	movedOfThree  = []uint8{0b0111, 0b1011}
	movedOfTwo    = []uint8{0b0011, 0b0101}
)

// Model check of reads at every instance that takes itself for the owner, with up to three owners
// in turn, of which an earlier one may continue at any time, replicas of which a disk may be lost,
// also ones that are replaced, and claims and writes that are late or have no answer. A read that
// begins after another one has ended must not return less, also at an owner that was replaced and
// doesn't know. An owner answers from memory if the head names it, or as many replicas as an append
// needs know no later one, and no write without an answer ends the batch, has its last results or
// moves the replicas. A complete list, or one whose end is known to be stored, needs none of this.
func TestNoReadIsShorterThanAnEarlierOne(t *testing.T) {
	// The longest violation that is found if a rule is left out.
	const longestTrace = 7
	for name, r := range map[string]rules{
		"three replicas":                            {sets: threeReplicas},
		"two replicas":                              {sets: twoReplicas},
		"two replicas, ends":                        {sets: twoReplicas, mayEnd: true},
		"three replicas, ends":                      {sets: threeReplicas, mayEnd: true},
		"three replicas, two owners, ends":          {sets: threeReplicas, mayEnd: true, owners: 2},
		"three replicas that move":                  {sets: movedOfThree, owners: 2},
		"two replicas that move, two owners, ends":  {sets: movedOfTwo, mayEnd: true, owners: 2},
		"two replicas that move":                    {sets: movedOfTwo},
		"pending":                                   {sets: threeReplicas, isPending: true},
		"pending, the lack of a head confirms":      {sets: twoReplicas, isPending: true, absentHead: true},
		"confirmed half as long before as settled":  {sets: twoReplicas, mayEnd: true, owners: 2, validity: 1, settled: 2},
		"confirmed before, three replicas, no ends": {sets: threeReplicas, owners: 2, validity: 1, settled: 2},
	} {
		t.Run(name, func(t *testing.T) {
			trace, states, depth, isAll := searchReads(r)
			t.Logf("%d states, all within %d steps, none left: %t", states, depth, isAll)
			g := NewWithT(t)
			g.Expect(trace).To(BeEmpty(), strings.Join(trace, "\n"))
			g.Expect(isAll || depth > longestTrace).To(BeTrue(), "%d steps", depth)
		})
	}
}

// With a rule left out, the same searches must find a violation, or the test above would prove
// nothing.
func TestReadSearchFindsWhatIsLeftOut(t *testing.T) {
	for name, r := range map[string]rules{
		"owners don't confirm":                              {sets: threeReplicas, noConfirmation: true},
		"as many replicas confirm as a seal needs":          {sets: twoReplicas, sealQuorum: true},
		"a new disk confirms for the old one":               {sets: threeReplicas, noDiskCheck: true},
		"replicas confirm while they are moved":             {sets: movedOfThree, whileMoving: true},
		"two replicas confirm while they are moved":         {sets: movedOfTwo, whileMoving: true},
		"replicas confirm while the end has no answer":      {sets: threeReplicas, mayEnd: true, whileEnding: true},
		"replicas confirm while the rest has no answer":     {sets: threeReplicas, whileCompleting: true},
		"the head of an ended batch confirms":               {sets: threeReplicas, mayEnd: true, endedHead: true},
		"an outdated head confirms":                         {sets: threeReplicas, outdatedHead: true},
		"confirmed as long before as settled":               {sets: twoReplicas, mayEnd: true, owners: 2, validity: 1, settled: 1},
		"confirmed as long before as settled, without ends": {sets: twoReplicas, owners: 2, validity: 1, settled: 1},
	} {
		t.Run(name, func(t *testing.T) {
			trace, states, _, _ := searchReads(r)
			NewWithT(t).Expect(trace).NotTo(BeEmpty(), "after %d states", states)
			t.Logf("%d states:\n%s", states, strings.Join(trace, "\n"))
		})
	}
}
