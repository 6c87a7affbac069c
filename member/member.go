// Package member maintains the membership table of a hub: it turns heartbeats into a
// versioned table, from which readers are sent only the changes.
//
// It has no clock, no lock and no network; the time is an argument. Its load is
// heartbeats of a whole fleet every few seconds, almost all without a change. Three
// rules keep that cheap: a heartbeat without a change makes no new version, load
// figures aren't part of the table, and minor changes (a staged weight version, the
// number of slots) are batched, so that a rollout to all workers makes one version
// every 15 seconds instead of one per order.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// maxExamples bounds how many instances a digest names for each revision: an
	// operator looks at one or two that lag, not at a list of hundreds.
	maxExamples = 3
	// Ranks of reports about the same incarnation of an instance; the greatest counts.
	rankOtherDataCentre = 1
	rankOwnDataCentre   = 2
	rankDirect          = 3
)

type (
	// Table is the membership as one hub knows it. It is not safe for concurrent use.
	Table struct {
		dataCentre string
		boot       int64
		// local holds the instances that send their heartbeats to this hub, merged the
		// best report on each instance of the fleet. Hubs of other data centres read
		// local, members read merged.
		local        *versionedTable
		merged       *versionedTable
		lastSeen     map[string]*beatRecord
		remotes      map[string]*remoteTable
		digests      map[string]*wire.DataCentreDigest
		expiry       time.Duration
		remoteExpiry time.Duration
		settleDelay  time.Duration
		tombstoneTTL time.Duration
	}

	// beatRecord is the last heartbeat of an instance.
	beatRecord struct {
		at       time.Time
		boot     int64
		sequence int64
		revision int64
	}

	// remoteTable is the table of another data centre: the instances that its hub last
	// reported, the version up to which it was read, and when its hub last answered.
	remoteTable struct {
		states   map[string]*state
		version  int64
		boot     int64
		lastSeen time.Time
	}
)

// New returns an empty table for a hub in dataCentre. Boot distinguishes the versions
// of this table from those of all others, including earlier ones of the same hub.
//
//	t := member.New("tln-a", boot)
//	t.Beat(time.Now(), req)
func New(dataCentre string, boot int64, opts ...Option) *Table {
	t := &Table{
		dataCentre:   dataCentre,
		boot:         boot,
		lastSeen:     map[string]*beatRecord{},
		remotes:      map[string]*remoteTable{},
		digests:      map[string]*wire.DataCentreDigest{},
		expiry:       defaultExpiry,
		remoteExpiry: defaultRemoteExpiry,
		settleDelay:  defaultSettleDelay,
		tombstoneTTL: defaultTombstoneTTL,
	}
	for _, opt := range opts {
		opt(t)
	}
	t.local = newVersionedTable(t.settleDelay, t.tombstoneTTL)
	t.merged = newVersionedTable(t.settleDelay, t.tombstoneTTL)
	return t
}

// Beat applies the heartbeat of an instance.
func (t *Table) Beat(now time.Time, req *wire.BeatRequest) {
	var s *state
	switch {
	case req.GetEndpoint().GetInstance() != "":
		s = newEndpointState(req.GetEndpoint())
	case req.GetEntry().GetInstance() != "":
		s = newEntryState(req.GetEntry())
	default:
		return
	}
	next := &beatRecord{at: now, boot: s.boot, sequence: req.GetSequence(), revision: req.GetRevision()}
	if old := t.lastSeen[s.id()]; old != nil && next.isStale(old) {
		return
	}
	t.lastSeen[s.id()] = next
	t.local.put(now, s)
	t.selectState(now, s.id())
}

// Seed adds the instances that the hub knew before it became a hub, as if each had just
// sent a heartbeat. Without it a new hub would report an empty data centre for some
// seconds.
func (t *Table) Seed(now time.Time, entries []*wire.EntryState, endpoints []*wire.EndpointState) {
	for _, e := range endpoints {
		t.seed(now, newEndpointState(e))
	}
	for _, e := range entries {
		t.seed(now, newEntryState(e))
	}
}

func (t *Table) seed(now time.Time, s *state) {
	if s.dataCentreName() != t.dataCentre || t.lastSeen[s.id()] != nil {
		return
	}
	t.lastSeen[s.id()] = &beatRecord{at: now, boot: s.boot}
	t.local.put(now, s)
	t.selectState(now, s.id())
}

// Merge applies the members that a hub of another data centre reported.
func (t *Table) Merge(now time.Time, dataCentre string, resp *wire.MembersResponse) {
	s := t.remotes[dataCentre]
	if s == nil {
		s = &remoteTable{states: map[string]*state{}}
		t.remotes[dataCentre] = s
	}
	if !resp.GetWhole() && resp.GetBoot() != s.boot {
		return
	}
	affected := map[string]bool{}
	if resp.GetWhole() {
		for id := range s.states {
			affected[id] = true
		}
		clear(s.states)
	}
	for _, e := range resp.GetEndpoints() {
		s.set(newEndpointState(e), e.GetGone())
		affected[e.GetInstance()] = true
	}
	for _, e := range resp.GetEntries() {
		s.set(newEntryState(e), e.GetGone())
		affected[e.GetInstance()] = true
	}
	s.version, s.boot, s.lastSeen = resp.GetVersion(), resp.GetBoot(), now
	for _, id := range slices.Sorted(maps.Keys(affected)) {
		t.selectState(now, id)
	}
}

// MarkReachable records that a hub of another data centre answered without changes.
func (t *Table) MarkReachable(now time.Time, dataCentre string) {
	if s := t.remotes[dataCentre]; s != nil {
		s.lastSeen = now
	}
}

// Cursor returns the version up to which the table of another data centre was read, and
// its boot.
func (t *Table) Cursor(dataCentre string) (version, boot int64) {
	if s := t.remotes[dataCentre]; s != nil {
		return s.version, s.boot
	}
	return 0, 0
}

// Expire marks instances that have been silent for too long as gone, makes a new
// version for minor changes that are due, and removes old tombstones.
func (t *Table) Expire(now time.Time) {
	expiry := t.expiry
	if t.mostSilent(now) {
		expiry *= massSilenceFactor
	}
	for _, id := range slices.Sorted(maps.Keys(t.lastSeen)) {
		if now.Sub(t.lastSeen[id].at) >= expiry && t.local.live(id) != nil {
			t.local.drop(now, id)
			t.selectState(now, id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.remotes)) {
		if s := t.remotes[name]; now.Sub(s.lastSeen) >= t.remoteExpiry {
			t.dropRemote(now, name, s)
		}
	}
	t.local.tick(now)
	t.merged.tick(now)
	for id := range t.lastSeen {
		if t.local.rows[id] == nil {
			delete(t.lastSeen, id)
		}
	}
}

// Version returns the version of the merged table, which members read.
func (t *Table) Version() int64 {
	return t.merged.version
}

// LocalVersion returns the version of the local table, which hubs of other data centres
// read. Their reports don't change it.
func (t *Table) LocalVersion() int64 {
	return t.local.version
}

// Boot returns the boot that the versions belong to.
func (t *Table) Boot() int64 {
	return t.boot
}

// ChangesSince answers a reader with the changes after its version, or with the full table if
// the version belongs to another boot, is too old or is unknown. A full table contains
// no gone members.
func (t *Table) ChangesSince(req *wire.MembersRequest) *wire.MembersResponse {
	known := req.GetBoot() == t.boot
	if req.GetDataCentre() != "" {
		resp := t.local.changesSince(req.GetAfterVersion(), known)
		resp.Boot = t.boot
		return resp
	}
	resp := t.merged.changesSince(req.GetAfterVersion(), known)
	resp.Boot = t.boot
	for _, name := range slices.Sorted(maps.Keys(t.digests)) {
		resp.Digests = append(resp.Digests, t.digests[name])
	}
	return resp
}

// SetDigest stores the applied configuration revisions of another data centre, unless a
// newer digest is known.
func (t *Table) SetDigest(d *wire.DataCentreDigest) {
	old := t.digests[d.GetDataCentre()]
	if old == nil || old.GetAsOfUnixMs() <= d.GetAsOfUnixMs() {
		t.digests[d.GetDataCentre()] = d
	}
}

// Digest counts the instances that send their heartbeats here by the configuration
// revision they have in force, lowest revision first, and stores the result as this
// data centre's digest.
func (t *Table) Digest(now time.Time) *wire.DataCentreDigest {
	counts := map[int64]*wire.RevisionCount{}
	for _, id := range slices.Sorted(maps.Keys(t.lastSeen)) {
		if t.local.live(id) == nil {
			continue
		}
		revision := t.lastSeen[id].revision
		c := counts[revision]
		if c == nil {
			c = &wire.RevisionCount{Revision: revision}
			counts[revision] = c
		}
		c.Instances++
		if len(c.Examples) < maxExamples {
			c.Examples = append(c.Examples, id)
		}
	}
	d := &wire.DataCentreDigest{DataCentre: t.dataCentre, AsOfUnixMs: now.UnixMilli()}
	for _, revision := range slices.Sorted(maps.Keys(counts)) {
		d.Counts = append(d.Counts, counts[revision])
	}
	t.digests[t.dataCentre] = d
	return proto.CloneOf(d)
}

// EndpointCounts counts the live endpoints of each service.
func (t *Table) EndpointCounts() map[string]int64 {
	out := map[string]int64{}
	for _, r := range t.merged.rows {
		if ep := r.state.endpoint; ep != nil && r.goneAt.IsZero() {
			out[ep.GetService()]++
		}
	}
	return out
}

// LiveCount returns the number of members that aren't gone.
func (t *Table) LiveCount() int {
	return t.merged.count()
}

// isStale reports whether a heartbeat belongs to an earlier incarnation of the instance
// than old, or was sent before it by the same one. Without this check a delayed
// heartbeat would put a drained endpoint back into service, or restore the old weights
// of a restarted one.
func (h *beatRecord) isStale(old *beatRecord) bool {
	if h.boot != old.boot {
		return h.boot < old.boot
	}
	return h.sequence < old.sequence
}

func (s *remoteTable) set(st *state, gone bool) {
	if gone {
		delete(s.states, st.id())
		return
	}
	s.states[st.id()] = st
}

func (t *Table) dropRemote(now time.Time, name string, s *remoteTable) {
	delete(t.remotes, name)
	for _, id := range slices.Sorted(maps.Keys(s.states)) {
		t.selectState(now, id)
	}
}

// selectState updates the merged table for one instance. Hubs of two data centres can
// report the same instance after it moved from one to the other. The later incarnation
// counts; for the same one, heartbeats received here take precedence, then the report
// of the hub of its own data centre. All reports are kept: when the one that counted
// ends, the next best one counts.
func (t *Table) selectState(now time.Time, id string) {
	best, bestRank := t.local.live(id), rankDirect
	for _, name := range slices.Sorted(maps.Keys(t.remotes)) {
		s := t.remotes[name].states[id]
		if s == nil {
			continue
		}
		rank := rankOtherDataCentre
		if s.dataCentreName() == name {
			rank = rankOwnDataCentre
		}
		if best == nil || cmp.Or(cmp.Compare(s.boot, best.boot), cmp.Compare(rank, bestRank)) > 0 {
			best, bestRank = s, rank
		}
	}
	if best == nil {
		t.merged.drop(now, id)
		return
	}
	t.merged.put(now, best)
}

// mostSilent reports whether more than half of the instances that send their heartbeats
// here have been silent for half of the expiry. It must notice before the first of them
// expires, since instances expire one after another when the hub is cut off, and not
// together.
func (t *Table) mostSilent(now time.Time) bool {
	live, late := 0, 0
	for id, h := range t.lastSeen {
		if t.local.live(id) == nil {
			continue
		}
		live++
		if now.Sub(h.at) >= t.expiry/2 {
			late++
		}
	}
	return 2*late > live
}
