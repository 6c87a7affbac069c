// Package member decides who is a member: it turns heartbeats into a table with
// versions, from which readers are sent only what changed.
//
// It has no clock, no lock and no network; time is an argument. It answers the
// load of a whole fleet that says every few seconds that nothing changed. Three
// things keep that cheap: a beat that says nothing new makes no version, load
// figures are not part of the table at all, and minor changes (a weight version
// staged, the number of slots) wait for each other, so that a roll-out to all
// workers makes a version every 15 seconds instead of one for each order.
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
	// The ranks order reports of the same start of an instance.
	rankOther  = 1
	rankHome   = 2
	rankDirect = 3
)

type (
	// Table is the membership as one hub knows it. It is not safe for
	// concurrent use.
	Table struct {
		dataCentre string
		boot       int64
		// own holds those who beat here, all the best that anybody says of each
		// instance. Hubs of other data centres read own, members read all.
		own          *ledger
		all          *ledger
		heard        map[string]*hearing
		sources      map[string]*source
		digests      map[string]*wire.DataCentreDigest
		expiry       time.Duration
		sourceExpiry time.Duration
		settle       time.Duration
		keepGone     time.Duration
	}

	// hearing is the last beat of an instance.
	hearing struct {
		at       time.Time
		boot     int64
		sequence int64
		revision int64
	}

	// source is another data centre: what its hub last said of those who beat to
	// it, up to where its table was read, and when it last answered.
	source struct {
		states  map[string]*state
		version int64
		boot    int64
		heard   time.Time
	}
)

// New returns the empty table of a hub in dataCentre. Boot tells the versions of
// this table from those of any other, also of the same hub's earlier starts.
//
//	t := member.New("tln-a", boot)
//	t.Beat(time.Now(), req)
func New(dataCentre string, boot int64, opts ...Option) *Table {
	t := &Table{
		dataCentre:   dataCentre,
		boot:         boot,
		heard:        map[string]*hearing{},
		sources:      map[string]*source{},
		digests:      map[string]*wire.DataCentreDigest{},
		expiry:       defaultExpiry,
		sourceExpiry: defaultSourceExpiry,
		settle:       defaultSettle,
		keepGone:     defaultKeepGone,
	}
	for _, opt := range opts {
		opt(t)
	}
	t.own = newLedger(t.settle, t.keepGone)
	t.all = newLedger(t.settle, t.keepGone)
	return t
}

// Beat takes in the heartbeat of an instance.
func (t *Table) Beat(now time.Time, req *wire.BeatRequest) {
	var s *state
	switch {
	case req.GetEndpoint().GetInstance() != "":
		s = ofEndpoint(req.GetEndpoint())
	case req.GetEntry().GetInstance() != "":
		s = ofEntry(req.GetEntry())
	default:
		return
	}
	next := &hearing{at: now, boot: s.boot, sequence: req.GetSequence(), revision: req.GetRevision()}
	if old := t.heard[s.id()]; old != nil && next.stale(old) {
		return
	}
	t.heard[s.id()] = next
	t.own.put(now, s)
	t.choose(now, s.id())
}

// Seed takes in what the hub knew as a mere member before it became hub, as if
// each had just beaten here. Without it a hub that takes over would say for some
// seconds that the data centre is empty.
func (t *Table) Seed(now time.Time, entries []*wire.EntryState, endpoints []*wire.EndpointState) {
	for _, e := range endpoints {
		t.seed(now, ofEndpoint(e))
	}
	for _, e := range entries {
		t.seed(now, ofEntry(e))
	}
}

func (t *Table) seed(now time.Time, s *state) {
	if s.place() != t.dataCentre || t.heard[s.id()] != nil {
		return
	}
	t.heard[s.id()] = &hearing{at: now, boot: s.boot}
	t.own.put(now, s)
	t.choose(now, s.id())
}

// Merge takes in what a hub of another data centre answered about those who beat
// to it.
func (t *Table) Merge(now time.Time, dataCentre string, resp *wire.MembersResponse) {
	s := t.sources[dataCentre]
	if s == nil {
		s = &source{states: map[string]*state{}}
		t.sources[dataCentre] = s
	}
	if !resp.GetWhole() && resp.GetBoot() != s.boot {
		return
	}
	touched := map[string]bool{}
	if resp.GetWhole() {
		for id := range s.states {
			touched[id] = true
		}
		clear(s.states)
	}
	for _, e := range resp.GetEndpoints() {
		s.set(ofEndpoint(e), e.GetGone())
		touched[e.GetInstance()] = true
	}
	for _, e := range resp.GetEntries() {
		s.set(ofEntry(e), e.GetGone())
		touched[e.GetInstance()] = true
	}
	s.version, s.boot, s.heard = resp.GetVersion(), resp.GetBoot(), now
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		t.choose(now, id)
	}
}

// Contact notes that a hub of another data centre answered and has nothing new.
func (t *Table) Contact(now time.Time, dataCentre string) {
	if s := t.sources[dataCentre]; s != nil {
		s.heard = now
	}
}

// Cursor returns up to where the table of another data centre was read.
func (t *Table) Cursor(dataCentre string) (version, boot int64) {
	if s := t.sources[dataCentre]; s != nil {
		return s.version, s.boot
	}
	return 0, 0
}

// Expire marks instances that are silent for too long as gone, lets minor
// changes that waited long enough make a version, and forgets old marks.
func (t *Table) Expire(now time.Time) {
	expiry := t.expiry
	if t.mostLate(now) {
		expiry *= holdFactor
	}
	for _, id := range slices.Sorted(maps.Keys(t.heard)) {
		if now.Sub(t.heard[id].at) >= expiry && t.own.live(id) != nil {
			t.own.drop(now, id)
			t.choose(now, id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.sources)) {
		if s := t.sources[name]; now.Sub(s.heard) >= t.sourceExpiry {
			t.forgetSource(now, name, s)
		}
	}
	t.own.tick(now)
	t.all.tick(now)
	for id := range t.heard {
		if t.own.rows[id] == nil {
			delete(t.heard, id)
		}
	}
}

// Version returns the version of the table that members read.
func (t *Table) Version() int64 {
	return t.all.version
}

// OwnVersion returns the version of the table that hubs of other data centres
// read. What they told this hub makes no version of it.
func (t *Table) OwnVersion() int64 {
	return t.own.version
}

// Boot returns the boot that the versions belong to.
func (t *Table) Boot() int64 {
	return t.boot
}

// Since answers a reader: what changed after its version, or the whole table
// when the version is of another boot, too old or unknown. Gone members are in
// it only when it is not whole.
func (t *Table) Since(req *wire.MembersRequest) *wire.MembersResponse {
	known := req.GetBoot() == t.boot
	if req.GetDataCentre() != "" {
		resp := t.own.since(req.GetAfterVersion(), known)
		resp.Boot = t.boot
		return resp
	}
	resp := t.all.since(req.GetAfterVersion(), known)
	resp.Boot = t.boot
	for _, name := range slices.Sorted(maps.Keys(t.digests)) {
		resp.Digests = append(resp.Digests, t.digests[name])
	}
	return resp
}

// SetDigest takes in who has which configuration in another data centre; one
// that is older than what is known is passed over.
func (t *Table) SetDigest(d *wire.DataCentreDigest) {
	old := t.digests[d.GetDataCentre()]
	if old == nil || old.GetAsOfUnixMs() <= d.GetAsOfUnixMs() {
		t.digests[d.GetDataCentre()] = d
	}
}

// Digest counts the instances that beat here by the configuration revision that
// they have in force, least first, and remembers the count as this data centre's.
func (t *Table) Digest(now time.Time) *wire.DataCentreDigest {
	counts := map[int64]*wire.RevisionCount{}
	for _, id := range slices.Sorted(maps.Keys(t.heard)) {
		if t.own.live(id) == nil {
			continue
		}
		revision := t.heard[id].revision
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

// Services counts the live endpoints of each service.
func (t *Table) Services() map[string]int64 {
	out := map[string]int64{}
	for _, r := range t.all.rows {
		if ep := r.state.endpoint; ep != nil && r.goneAt.IsZero() {
			out[ep.GetService()]++
		}
	}
	return out
}

// Live returns how many members are known and not gone.
func (t *Table) Live() int {
	return t.all.count()
}

// stale tells whether a beat is of an earlier start of the instance than what is
// known, or was overtaken by a later beat of the same start. Without this a beat
// that was held up on its way would take a drained endpoint back into service, or
// give a restarted one its old weights.
func (h *hearing) stale(old *hearing) bool {
	if h.boot != old.boot {
		return h.boot < old.boot
	}
	return h.sequence < old.sequence
}

func (s *source) set(st *state, gone bool) {
	if gone {
		delete(s.states, st.id())
		return
	}
	s.states[st.id()] = st
}

func (t *Table) forgetSource(now time.Time, name string, s *source) {
	delete(t.sources, name)
	for _, id := range slices.Sorted(maps.Keys(s.states)) {
		t.choose(now, id)
	}
}

// choose brings the table that members read up to date for one instance. Hubs
// of two data centres can speak of the same instance after it changed from one
// to the other. The later start counts; of the same start, what it says here
// itself, then what the hub of its own data centre says. All reports are kept:
// when the one that counted ends, the next best one counts.
func (t *Table) choose(now time.Time, id string) {
	best, bestRank := t.own.live(id), rankDirect
	for _, name := range slices.Sorted(maps.Keys(t.sources)) {
		s := t.sources[name].states[id]
		if s == nil {
			continue
		}
		rank := rankOther
		if s.place() == name {
			rank = rankHome
		}
		if best == nil || cmp.Or(cmp.Compare(s.boot, best.boot), cmp.Compare(rank, bestRank)) > 0 {
			best, bestRank = s, rank
		}
	}
	if best == nil {
		t.all.drop(now, id)
		return
	}
	t.all.put(now, best)
}

// mostLate tells whether more than half of those who beat here have let half of
// the expiry pass. It looks before the first of them expires, since when the hub
// is cut off they expire one after another and not together.
func (t *Table) mostLate(now time.Time) bool {
	live, late := 0, 0
	for id, h := range t.heard {
		if t.own.live(id) == nil {
			continue
		}
		live++
		if now.Sub(h.at) >= t.expiry/2 {
			late++
		}
	}
	return 2*late > live
}
