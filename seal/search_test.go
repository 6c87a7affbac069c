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
	// a replica, maxOutages the outages of the store, searchDepth the steps.
	maxLine     = 2
	maxMessages = 1
	maxOutages  = 1
	searchDepth = 14
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
		owner      [owners]ownerState
		copy       [replicas]replicaState
		message    [replicas][]appendMessage
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
	for _, o := range s.owner {
		num(o.acked[i])
		if o.sealed[i] {
			num(100)
		}
	}
	if c.wiped {
		num(101)
	}
	return string(b)
}

// steps calls visit with every state reachable in one step.
func (s state) steps(om omission, visit func(name string, s state)) {
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
		s.ownerSteps(i, om, step)
	}
	for i := range s.copy {
		s.replicaSteps(i, om, step)
	}
}

func (s state) ownerSteps(i int, om omission, step func(string, func(*state))) {
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
		s.sealSteps(i, om, step)
	}
	switch o.phase {
	case absent:
		if i == s.epoch+1 && !s.storeDown && s.owner[i-1].phase == active {
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
		if om.oneSeal {
			need = 1
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
		s.activeSteps(i, om, step)
	}
}

// sealSteps generates the remaining seals of a successor, including late ones that arrive
// after it has continued.
func (s state) sealSteps(i int, om omission, step func(string, func(*state))) {
	o := s.owner[i]
	for c := range s.copy {
		if i == 0 || o.sealed[c] || s.copy[c].wiped {
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
			if !om.noSeal && r.Seal(int64(i+1)) == nil {
				r.synced = Replica[byte]{Epoch: r.Epoch, ResultsEpoch: r.ResultsEpoch, From: r.From, Results: append([]byte(nil), r.Results...)}
			}
		})
	}
}

func (s state) activeSteps(i int, om omission, step func(string, func(*state))) {
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
	if om.oneReplica {
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

func (s state) replicaSteps(i int, om omission, step func(string, func(*state))) {
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
			if r.wiped && !om.noDiskCheck {
				return // an append names its disk
			}
			epoch := int64(msg.owner + 1)
			if om.noEpochCheck {
				epoch = max(epoch, r.Epoch)
			}
			if _, err := r.Append(epoch, msg.from, msg.stored, []byte(msg.results)); err != nil {
				return
			}
			if !om.noSync {
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
func (s state) violation() string {
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
func search(om omission) (trace []string, states, depth int) {
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
		queue[i].steps(om, func(name string, n state) {
			key := n.key()
			if found >= 0 || seen[key] {
				return
			}
			seen[key] = true
			queue = append(queue, visited{state: n, from: i, name: name})
			if problem := n.violation(); problem != "" {
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
// store, and writes and appends that are lost, late or repeated, in every order. What a
// trainer has read must never change, and never be missing at the current owner.
func TestNothingListedChangesOrIsLost(t *testing.T) {
	trace, states, depth := search(omission{})
	t.Logf("%d states, all within %d steps", states, depth)
	NewWithT(t).Expect(trace).To(BeEmpty(), strings.Join(trace, "\n"))
	NewWithT(t).Expect(depth).To(BeNumerically(">=", 12))
}

// With a step of the protocol left out, the same search must find a violation, or the test
// above would prove nothing.
func TestSearchFindsWhatIsLeftOut(t *testing.T) {
	for name, om := range map[string]omission{
		"successors don't seal":             {noSeal: true},
		"appends aren't synced":             {noSync: true},
		"replicas don't check epochs":       {noEpochCheck: true},
		"a new disk passes for the old one": {noDiskCheck: true},
		"one replica is enough to list":     {oneReplica: true},
		"a successor seals one replica":     {oneSeal: true},
	} {
		t.Run(name, func(t *testing.T) {
			trace, states, _ := search(om)
			NewWithT(t).Expect(trace).NotTo(BeEmpty(), "after %d states", states)
			t.Logf("%d states:\n%s", states, strings.Join(trace, "\n"))
		})
	}
}
