package seal

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	// replicas is the number of replicas, maxLost that of disks that may be lost, quorum
	// that of replicas with each listed result.
	replicas = 3
	maxLost  = 1
	quorum   = maxLost + 1
	// owners is the number of successive owners of the batch. An earlier owner may continue
	// at any time.
	owners = 3
	// maxLine bounds the number of a batch's results, maxMessages the appends in flight to
	// a replica, maxOutages the outages of the store, searchDepth the steps. maxCuts is the number
	// of links between owners and replicas that fail, where the search has such failures: enough
	// to cut one owner off from all replicas.
	maxLine     = 2
	maxMessages = 1
	maxOutages  = 1
	searchDepth = 14
	maxCuts     = replicas
	// maxStates bounds the number of states, so that the search ends in seconds.
	maxStates = 1_500_000
)

// The phases of an owner.
const (
	absent = iota
	sealing
	writing
	active
)

type (
	// omission selects steps of the protocol to leave out.
	omission struct {
		noSeal, noSync, noEpochCheck, noDiskCheck, oneSeal, oneReplica bool
		// sealTimeout has a successor continue after a time with the replicas that it reaches,
		// and claim the batch without asking whether it reaches any.
		sealTimeout bool
		// claimHolds keeps others out while an owner seals, even if it reaches too few replicas.
		claimHolds bool
	}

	// variant is what one search covers.
	variant struct {
		omission
		// withCuts has links between successors and replicas fail and heal. Otherwise messages
		// are only late.
		withCuts bool
	}

	// appendMessage is an append in flight.
	appendMessage struct {
		owner, from, stored int
		results             string
	}

	// ownerState is the state of an owner. Its epoch is its index plus one.
	ownerState struct {
		phase int
		// line has all results, one byte each. stored and listed are the lengths of its
		// prefixes that are in the store, as far as the owner knows, and that can be read.
		line           string
		stored, listed int
		// write is the length of the prefix being written to the store; -1 if none is.
		write int
		acked [replicas]int
		// sealed marks the replicas that it has sealed. best has the results of the best of
		// them, which bestEpoch appended.
		sealed    [replicas]bool
		best      string
		bestEpoch int64
	}

	replicaState struct {
		Replica[byte]
		// synced is what survives loss of power.
		synced Replica[byte]
		wiped  bool
	}

	// state is one state of the whole system.
	state struct {
		epoch      int // the index of the owner in the store's record
		storedLine string
		storeDown  bool
		outages    int
		wipes      int
		cuts       int
		// isCut marks the links that have failed, from an owner to a replica.
		isCut   [owners][replicas]bool
		owner   [owners]ownerState
		copy    [replicas]replicaState
		message [replicas][]appendMessage
		// observed is the longest prefix ever listed. Whatever is listed counts as read at
		// once.
		observed string
	}
)

func initialState() state {
	var s state
	s.owner[0].phase = active
	for i := range s.owner {
		s.owner[i].write = -1
	}
	return s
}

func (s state) clone() state {
	for i := range s.copy {
		s.copy[i].Results = append([]byte(nil), s.copy[i].Results...)
		s.copy[i].synced.Results = append([]byte(nil), s.copy[i].synced.Results...)
		s.message[i] = append([]appendMessage(nil), s.message[i]...)
	}
	return s
}

// key identifies a state. States that differ only in the order of replicas have the same key.
func (s state) key() string {
	b := make([]byte, 0, 192)
	num := func(n int) { b = append(b, byte(n+1)) }
	text := func(str string) { b = append(append(b, str...), 0) }
	num(s.epoch)
	num(s.outages)
	num(s.wipes)
	num(s.cuts)
	if s.storeDown {
		num(1)
	}
	text(s.storedLine)
	text(s.observed)
	for _, o := range s.owner {
		num(o.phase)
		num(o.stored)
		num(o.listed)
		num(o.write)
		text(o.line)
		text(o.best)
		num(int(o.bestEpoch))
	}
	blobs := make([]string, replicas)
	for i := range s.copy {
		blobs[i] = s.replicaKey(i)
	}
	slices.Sort(blobs)
	return string(b) + strings.Join(blobs, "|")
}

// replicaKey identifies a replica's state, with the appends in flight to it and what owners
// know of it.
func (s state) replicaKey(i int) string {
	b := make([]byte, 0, 64)
	num := func(n int) { b = append(b, byte(n+1)) }
	text := func(str string) { b = append(append(b, str...), 0) }
	c := s.copy[i]
	for _, c := range []Replica[byte]{c.Replica, c.synced} {
		num(int(c.Epoch))
		num(int(c.ResultsEpoch))
		num(c.From)
		text(string(c.Results))
	}
	for _, m := range s.message[i] {
		num(m.owner)
		num(m.from)
		num(m.stored)
		text(m.results)
	}
	text("")
	for n, o := range s.owner {
		num(o.acked[i])
		if o.sealed[i] {
			num(100)
		}
		if s.isCut[n][i] {
			num(102)
		}
	}
	if c.wiped {
		num(101)
	}
	return string(b)
}

// steps calls visit with every state reachable in one step.
func (s state) steps(v variant, visit func(name string, s state)) {
	step := func(name string, do func(n *state)) {
		n := s.clone()
		do(&n)
		visit(name, n)
	}
	if s.storeDown {
		step("store recovers", func(n *state) { n.storeDown = false })
	} else if s.outages < maxOutages {
		step("store outage", func(n *state) { n.storeDown = true; n.outages++ })
	}
	for i := range s.owner {
		s.ownerSteps(i, v, step)
		if v.withCuts {
			s.cutSteps(i, step)
		}
	}
	for i := range s.copy {
		s.replicaSteps(i, v, step)
	}
}

func (s state) ownerSteps(i int, v variant, step func(string, func(*state))) {
	o := s.owner[i]
	if o.write >= 0 && !s.storeDown && s.epoch == i {
		// The write takes effect; its reply may be lost.
		step(fmt.Sprint("write of ", i), func(n *state) {
			n.storedLine = o.line[:o.write]
			n.owner[i].stored, n.owner[i].write = o.write, -1
			n.list(i, o.write)
		})
		step(fmt.Sprint("write with lost reply of ", i), func(n *state) { n.storedLine = o.line[:o.write] })
	}
	if o.phase != absent {
		s.sealSteps(i, v, step)
	}
	switch o.phase {
	case absent:
		if i == s.epoch+1 && !s.storeDown && s.mayTakeOver(i, v) {
			step(fmt.Sprint("takeover by ", i), func(n *state) {
				n.epoch = i
				n.owner[i] = ownerState{phase: sealing, line: n.storedLine, stored: len(n.storedLine), write: -1}
			})
		}
	case sealing:
		sealed, need := 0, replicas-maxLost
		for _, isSealed := range o.sealed {
			if isSealed {
				sealed++
			}
		}
		switch {
		case v.oneSeal:
			need = 1
		case v.sealTimeout && !s.reachesEnough(i):
			need = 0
		}
		if sealed >= need {
			step(fmt.Sprint("enough replicas sealed by ", i), func(n *state) {
				n.owner[i].line += o.best
				n.owner[i].phase, n.owner[i].best, n.owner[i].bestEpoch = writing, "", 0
			})
		}
	case writing:
		if !s.storeDown && s.epoch == i {
			step(fmt.Sprint("recovery by ", i), func(n *state) {
				n.storedLine = o.line
				n.owner[i].stored, n.owner[i].phase = len(o.line), active
				n.list(i, len(o.line))
			})
		}
	case active:
		s.activeSteps(i, v, step)
	}
}

// mayTakeOver reports whether a successor claims the batch: an instance that reaches too few
// replicas doesn't. An owner that is lost while it seals, or reaches too few replicas itself,
// gets a successor like any other.
func (s state) mayTakeOver(i int, v variant) bool {
	if v.claimHolds && s.owner[i-1].phase != active {
		return false
	}
	return v.sealTimeout || s.reachesEnough(i)
}

// reachesEnough reports whether an owner reaches as many replicas as it has to seal.
func (s state) reachesEnough(i int) bool {
	reached := 0
	for c := range s.copy {
		if !s.isCut[i][c] && !s.copy[c].wiped {
			reached++
		}
	}
	return reached >= replicas-maxLost
}

// cutSteps generates the failures of links of a successor, before or after its claim, and the
// end of all of them.
func (s state) cutSteps(i int, step func(string, func(*state))) {
	if i == 0 || i > s.epoch+1 {
		return
	}
	for c := range s.copy {
		if !s.isCut[i][c] && s.cuts < maxCuts {
			step(fmt.Sprint(i, " is cut off from ", c), func(n *state) { n.isCut[i][c] = true; n.cuts++ })
		}
	}
	if s.isCut[i] != [replicas]bool{} {
		step(fmt.Sprint("links of ", i, " heal"), func(n *state) { n.isCut[i] = [replicas]bool{} })
	}
}

// sealSteps generates the remaining seals of a successor, including late ones that arrive
// after it has continued.
func (s state) sealSteps(i int, v variant, step func(string, func(*state))) {
	o := s.owner[i]
	for c := range s.copy {
		if i == 0 || o.sealed[c] || s.copy[c].wiped || s.isCut[i][c] {
			continue
		}
		step(fmt.Sprint("seal of ", c, " by ", i), func(n *state) {
			r, sealer := &n.copy[c], &n.owner[i]
			tail, tailEpoch := string(r.ResultsFrom(len(o.line))), r.ResultsEpoch
			if int64(i+1) < r.Epoch {
				return
			}
			sealer.sealed[c] = true
			if o.phase == sealing && (tailEpoch > o.bestEpoch || (tailEpoch == o.bestEpoch && len(tail) > len(o.best))) {
				sealer.best, sealer.bestEpoch = tail, tailEpoch
			}
			if !v.noSeal && r.Seal(int64(i+1)) == nil {
				r.synced = Replica[byte]{Epoch: r.Epoch, ResultsEpoch: r.ResultsEpoch, From: r.From, Results: append([]byte(nil), r.Results...)}
			}
		})
	}
}

func (s state) activeSteps(i int, v variant, step func(string, func(*state))) {
	o := s.owner[i]
	if len(o.line) < maxLine {
		step(fmt.Sprint("result at ", i), func(n *state) { n.owner[i].line += string(rune('a' + 8*i + len(o.line))) })
	}
	if o.write < 0 && len(o.line) > o.stored {
		step(fmt.Sprint("write sent by ", i), func(n *state) { n.owner[i].write = len(o.line) })
	}
	for c := range s.copy {
		if len(o.line) > o.stored && len(s.message[c]) < maxMessages {
			step(fmt.Sprint("append sent by ", i, " to ", c), func(n *state) {
				n.message[c] = append(n.message[c], appendMessage{owner: i, from: o.stored, stored: o.stored, results: o.line[o.stored:]})
			})
		}
	}
	for c := range s.copy {
		if o.stored == len(o.line) && o.stored > 0 && len(s.copy[c].Results) > 0 {
			step(fmt.Sprint("drop by ", i, " at ", c), func(n *state) {
				if r := &n.copy[c]; r.Drop(int64(i+1), o.stored) == nil {
					r.synced = r.Replica
				}
			})
		}
	}
	acked := slices.Sorted(slices.Values(o.acked[:]))
	enough := acked[replicas-quorum]
	if v.oneReplica {
		enough = acked[replicas-1]
	}
	if enough > o.listed {
		step(fmt.Sprint("listed by ", i), func(n *state) { n.list(i, enough) })
	}
}

// list makes an owner list its results up to a position.
func (s *state) list(i, to int) {
	o := &s.owner[i]
	o.listed = max(o.listed, to)
	if read := o.line[:o.listed]; len(read) > len(s.observed) && strings.HasPrefix(read, s.observed) {
		s.observed = read
	}
}

func (s state) replicaSteps(i int, v variant, step func(string, func(*state))) {
	c := s.copy[i]
	if !c.wiped && s.wipes < maxLost {
		step(fmt.Sprint("disk lost of ", i), func(n *state) {
			n.wipes++
			n.copy[i] = replicaState{wiped: true}
			n.message[i] = nil
		})
	}
	if len(c.Results) != len(c.synced.Results) || c.Epoch != c.synced.Epoch || c.ResultsEpoch != c.synced.ResultsEpoch {
		step(fmt.Sprint("power lost at ", i), func(n *state) {
			n.copy[i].Replica = Replica[byte]{Epoch: c.synced.Epoch, ResultsEpoch: c.synced.ResultsEpoch, From: c.synced.From, Results: append([]byte(nil), c.synced.Results...)}
		})
	}
	for m, msg := range s.message[i] {
		deliver := func(n *state) {
			r := &n.copy[i]
			if r.wiped && !v.noDiskCheck {
				return // an append names its disk
			}
			epoch := int64(msg.owner + 1)
			if v.noEpochCheck {
				epoch = max(epoch, r.Epoch)
			}
			if _, err := r.Append(epoch, msg.from, msg.stored, []byte(msg.results)); err != nil {
				return
			}
			if !v.noSync {
				r.synced = Replica[byte]{Epoch: r.Epoch, ResultsEpoch: r.ResultsEpoch, From: r.From, Results: append([]byte(nil), r.Results...)}
			}
			n.owner[msg.owner].acked[i] = max(n.owner[msg.owner].acked[i], msg.from+len(msg.results))
		}
		step(fmt.Sprint("append at ", i), func(n *state) {
			n.message[i] = append(n.message[i][:m:m], n.message[i][m+1:]...)
			deliver(n)
		})
		step(fmt.Sprint("append at ", i, ", to be repeated"), deliver)
	}
}

// violation describes the invariant that a state violates; "" if none.
func (s state) violation(v variant) string {
	isStuck := s.owner[s.epoch].phase == sealing && !s.reachesEnough(s.epoch)
	if next := s.epoch + 1; isStuck && next < owners && s.reachesEnough(next) && !s.mayTakeOver(next, v) {
		return fmt.Sprintf("owner %d reaches too few replicas, and %d may not take over", s.epoch, next)
	}
	for i, o := range s.owner {
		if o.phase != active {
			continue
		}
		read := o.line[:o.listed]
		if !strings.HasPrefix(read, s.observed) && !strings.HasPrefix(s.observed, read) {
			return fmt.Sprintf("owner %d lists %q, and %q was read", i, read, s.observed)
		}
		if i == s.epoch && len(read) < len(s.observed) {
			return fmt.Sprintf("owner %d lists only %q, and %q was read", i, read, s.observed)
		}
	}
	return ""
}

// search visits the reachable states breadth-first, up to its bounds, and returns the steps
// to the first that violates an invariant.
func search(v variant) (trace []string, states, depth int) {
	type visited struct {
		state
		from int
		name string
	}
	queue := []visited{{state: initialState(), from: -1}}
	seen := map[string]bool{initialState().key(): true}
	end, found := 1, -1
	for i := 0; i < len(queue) && found < 0 && len(queue) < maxStates; i++ {
		if i == end {
			end = len(queue)
			if depth++; depth == searchDepth {
				break
			}
		}
		queue[i].steps(v, func(name string, n state) {
			key := n.key()
			if found >= 0 || seen[key] {
				return
			}
			seen[key] = true
			queue = append(queue, visited{state: n, from: i, name: name})
			if problem := n.violation(v); problem != "" {
				found = len(queue) - 1
				trace = append(trace, problem)
			}
		})
	}
	for i := found; i > 0; i = queue[i].from {
		trace = append([]string{queue[i].name}, trace...)
	}
	return trace, len(queue), depth
}

// Model check with three owners, three replicas of which one may be lost, outages of the
// store, and writes and appends that are lost, late or repeated, in every order. Owners are
// superseded at any time, also while they seal. What a trainer has read must never change, and
// never be missing at the current owner.
func TestNothingListedChangesOrIsLost(t *testing.T) {
	trace, states, depth := search(variant{})
	t.Logf("%d states, all within %d steps", states, depth)
	NewWithT(t).Expect(trace).To(BeEmpty(), strings.Join(trace, "\n"))
	NewWithT(t).Expect(depth).To(BeNumerically(">=", 12))
}

// The same with successors that reach some or none of the replicas, before or after they claim
// the batch, for any time. One that reaches too few must not continue, and must not keep out one
// that reaches enough.
func TestSuccessorsCutOffFromReplicas(t *testing.T) {
	trace, states, depth := search(variant{withCuts: true})
	t.Logf("%d states, all within %d steps", states, depth)
	NewWithT(t).Expect(trace).To(BeEmpty(), strings.Join(trace, "\n"))
	NewWithT(t).Expect(depth).To(BeNumerically(">=", 11), "the length of a violation if successors stop waiting for replicas")
}

// With a step of the protocol left out, the same search must find a violation, or the tests
// above would prove nothing.
func TestSearchFindsWhatIsLeftOut(t *testing.T) {
	for name, v := range map[string]variant{
		"successors don't seal":                         {omission: omission{noSeal: true}},
		"appends aren't synced":                         {omission: omission{noSync: true}},
		"replicas don't check epochs":                   {omission: omission{noEpochCheck: true}},
		"a new disk passes for the old one":             {omission: omission{noDiskCheck: true}},
		"one replica is enough to list":                 {omission: omission{oneReplica: true}},
		"a successor seals one replica":                 {omission: omission{oneSeal: true}},
		"a successor stops waiting for replicas":        {omission: omission{sealTimeout: true}, withCuts: true},
		"a successor without replicas keeps others out": {omission: omission{claimHolds: true}, withCuts: true},
	} {
		t.Run(name, func(t *testing.T) {
			trace, states, _ := search(v)
			NewWithT(t).Expect(trace).NotTo(BeEmpty(), "after %d states", states)
			t.Logf("%d states:\n%s", states, strings.Join(trace, "\n"))
		})
	}
}
