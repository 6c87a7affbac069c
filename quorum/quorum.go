// Package quorum decides whether the answers of some instances prove that a versioned
// state, such as the configuration's revision or a job's fencing token, is not older than
// what a majority of them had in use.
//
// It is the read side of majority voting: a revision that was in use on a majority of n
// instances is known to at least one of any (n+1)/2 of them, so the highest revision
// among that many answers is not older. An instance whose own state was lost, such as
// one that has just started, must not answer until it has proved its state in turn;
// otherwise the overlap could consist of instances that have forgotten the revision.
//
// The package uses no network and no clock.
package quorum

import "slices"

// Read collects the answers of one read. It is not safe for concurrent use. See New.
type Read struct {
	voters  []string
	answers map[string]int64
}

// New returns a read among voters, by ID, each counted once. The reader is a voter too if
// it may have had the state in use earlier, although it does not answer itself.
//
//	r := quorum.New(entries)
//	r.Add("entry-2", 9)
//	if source, revision, ok := r.Result(); ok { ... }
func New(voters []string) *Read {
	voters = slices.Clone(voters)
	slices.Sort(voters)
	return &Read{voters: slices.Compact(voters), answers: make(map[string]int64)}
}

// Add records the revision that a voter knows. Answers of others are ignored.
func (r *Read) Add(id string, revision int64) {
	if _, found := slices.BinarySearch(r.voters, id); found {
		r.answers[id] = max(r.answers[id], revision)
	}
}

// Result returns the voter with the highest revision and that revision. It returns false
// while there are fewer answers than Needed.
func (r *Read) Result() (source string, revision int64, ok bool) {
	if len(r.answers) < r.Needed() {
		return "", 0, false
	}
	for _, id := range r.voters {
		if got, answered := r.answers[id]; answered && (source == "" || got > revision) {
			source, revision = id, got
		}
	}
	return source, revision, true
}

// Needed returns the number of answers that intersect each majority of the voters, and at
// least one.
func (r *Read) Needed() int {
	return max(1, (len(r.voters)+1)/2)
}

// Answers returns the number of voters that have answered.
func (r *Read) Answers() int {
	return len(r.answers)
}

// Voters returns the number of voters.
func (r *Read) Voters() int {
	return len(r.voters)
}
