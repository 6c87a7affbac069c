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

type (
	// Table is the membership as one hub knows it. It is not safe for
	// concurrent use.
	Table struct {
		dataCentre string
		boot       int64
		version    int64
		// own is the version of the last change among those who beat here.
		own          int64
		floor        int64
		rows         map[string]*row
		sources      map[string]*source
		digests      map[string]*wire.DataCentreDigest
		expiry       time.Duration
		sourceExpiry time.Duration
		settle       time.Duration
		keepGone     time.Duration
	}

	// row is one instance. Exactly one of endpoint and entry is set.
	row struct {
		// source is the data centre whose hub told of it; empty when it beats
		// here.
		source   string
		boot     int64
		sequence int64
		revision int64
		heard    time.Time
		// changed is the table's version of the last change.
		changed int64
		// goneAt is zero while the instance lives.
		goneAt time.Time
		// settleAt is when a minor change makes a version; zero when none waits.
		settleAt time.Time
		endpoint *wire.EndpointState
		entry    *wire.EntryState
	}

	// source is another data centre: up to where its hub's table was read, and
	// when it last answered.
	source struct {
		version int64
		boot    int64
		heard   time.Time
	}
)

// New returns the empty table of a hub in dataCentre. Boot tells the versions of
// this table from those of any other, also of the same hub's earlier starts.
//
//	t := member.New("tln-a", time.Now().UnixNano())
//	t.Beat(time.Now(), req)
func New(dataCentre string, boot int64, opts ...Option) *Table {
	t := &Table{
		dataCentre:   dataCentre,
		boot:         boot,
		rows:         map[string]*row{},
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
	return t
}

// Beat takes in the heartbeat of an instance.
func (t *Table) Beat(now time.Time, req *wire.BeatRequest) {
	next := &row{revision: req.GetRevision(), sequence: req.GetSequence(), heard: now}
	switch {
	case req.GetEndpoint().GetInstance() != "":
		next.setEndpoint(req.GetEndpoint())
	case req.GetEntry().GetInstance() != "":
		next.setEntry(req.GetEntry())
	default:
		return
	}
	if old := t.rows[next.id()]; old != nil && next.stale(old) {
		return
	}
	t.take(now, next)
}

// Seed takes in what the hub knew as a mere member before it became hub, as if
// each had just beaten here. Without it a hub that takes over would say for some
// seconds that the data centre is empty.
func (t *Table) Seed(now time.Time, entries []*wire.EntryState, endpoints []*wire.EndpointState) {
	for _, e := range endpoints {
		next := &row{heard: now}
		next.setEndpoint(e)
		t.seed(now, next)
	}
	for _, e := range entries {
		next := &row{heard: now}
		next.setEntry(e)
		t.seed(now, next)
	}
}

func (t *Table) seed(now time.Time, next *row) {
	if next.place() == t.dataCentre && t.rows[next.id()] == nil {
		t.take(now, next)
	}
}

// Merge takes in what a hub of another data centre answered about its own.
func (t *Table) Merge(now time.Time, dataCentre string, resp *wire.MembersResponse) {
	s := t.sources[dataCentre]
	if s == nil {
		s = &source{}
		t.sources[dataCentre] = s
	}
	if !resp.GetWhole() && (resp.GetBoot() != s.boot || s.version == 0) {
		return
	}
	named := map[string]bool{}
	for _, e := range resp.GetEndpoints() {
		next := &row{source: dataCentre, heard: now}
		next.setEndpoint(e)
		t.merge(now, next, e.GetGone())
		named[next.id()] = true
	}
	for _, e := range resp.GetEntries() {
		next := &row{source: dataCentre, heard: now}
		next.setEntry(e)
		t.merge(now, next, e.GetGone())
		named[next.id()] = true
	}
	if resp.GetWhole() {
		t.dropUnnamed(now, dataCentre, named)
	}
	for _, d := range resp.GetDigests() {
		t.SetDigest(d)
	}
	s.version, s.boot, s.heard = resp.GetVersion(), resp.GetBoot(), now
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
	if t.mostSilent(now) {
		expiry *= holdFactor
	}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[id]
		switch {
		case !r.goneAt.IsZero():
			t.forget(now, id, r)
		case t.silent(now, r, expiry):
			t.drop(now, r)
		}
	}
	t.publish(now)
}

// Version returns the version of the table.
func (t *Table) Version() int64 {
	return t.version
}

// OwnVersion returns the version of the last change among those who beat here,
// for hubs of other data centres: they need not ask for changes that they told.
func (t *Table) OwnVersion() int64 {
	return t.own
}

// Boot returns the boot that the versions belong to.
func (t *Table) Boot() int64 {
	return t.boot
}

// Since answers a reader: what changed after its version, or the whole table
// when the version is of another boot, too old or unknown. Gone members are in
// it only when it is not whole.
func (t *Table) Since(req *wire.MembersRequest) *wire.MembersResponse {
	after := req.GetAfterVersion()
	whole := req.GetBoot() != t.boot || after < t.floor || after > t.version || after == 0
	resp := &wire.MembersResponse{Version: t.version, Boot: t.boot, Whole: whole}
	if req.GetDataCentre() != "" {
		resp.Version = t.own
	}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[id]
		if req.GetDataCentre() != "" && r.source != "" {
			continue
		}
		if (whole && r.goneAt.IsZero()) || (!whole && r.changed > after) {
			r.appendTo(resp)
		}
	}
	if req.GetDataCentre() == "" {
		for _, name := range slices.Sorted(maps.Keys(t.digests)) {
			resp.Digests = append(resp.Digests, t.digests[name])
		}
	}
	return resp
}

// take puts a row in the place of what is known of the same instance.
func (t *Table) take(now time.Time, next *row) {
	old := t.rows[next.id()]
	t.rows[next.id()] = next
	switch {
	case old == nil || !old.goneAt.IsZero() || next.material(old):
		t.advance(next)
	case next.minor(old):
		next.changed, next.settleAt = old.changed, old.settleAt
		if next.settleAt.IsZero() {
			next.settleAt = now.Add(t.settle)
		}
	default:
		next.changed, next.settleAt = old.changed, old.settleAt
	}
}

// merge takes in a row of another data centre's hub. An instance that beats here
// is known better here, unless it has started anew since: an answer of the other
// hub may be some seconds old.
func (t *Table) merge(now time.Time, next *row, gone bool) {
	old := t.rows[next.id()]
	direct := old != nil && old.source == "" && old.goneAt.IsZero()
	switch {
	case direct && next.boot <= old.boot:
		return
	case old != nil && next.boot < old.boot:
		return
	case !gone:
		t.take(now, next)
	case old != nil && old.goneAt.IsZero() && old.source == next.source:
		t.drop(now, old)
	}
}

func (t *Table) dropUnnamed(now time.Time, dataCentre string, named map[string]bool) {
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[id]
		if r.source == dataCentre && r.goneAt.IsZero() && !named[id] {
			t.drop(now, r)
		}
	}
}

func (t *Table) drop(now time.Time, r *row) {
	t.advance(r)
	r.goneAt = now
}

func (t *Table) forget(now time.Time, id string, r *row) {
	if now.Sub(r.goneAt) < t.keepGone {
		return
	}
	t.floor = max(t.floor, r.changed)
	delete(t.rows, id)
}

// mostSilent tells whether more than half of those who beat here are silent.
func (t *Table) mostSilent(now time.Time) bool {
	live, silent := 0, 0
	for _, r := range t.rows {
		if r.source != "" || !r.goneAt.IsZero() {
			continue
		}
		live++
		if t.silent(now, r, t.expiry) {
			silent++
		}
	}
	return 2*silent > live
}

func (t *Table) silent(now time.Time, r *row, expiry time.Duration) bool {
	if r.source == "" {
		return now.Sub(r.heard) >= expiry
	}
	s := t.sources[r.source]
	return s == nil || now.Sub(s.heard) >= t.sourceExpiry
}

// publish makes one version of all minor changes once the oldest has waited
// long enough.
func (t *Table) publish(now time.Time) {
	due := false
	waiting := []*row{}
	for _, r := range t.rows {
		if r.settleAt.IsZero() {
			continue
		}
		waiting = append(waiting, r)
		due = due || !now.Before(r.settleAt)
	}
	if !due {
		return
	}
	t.version++
	for _, r := range waiting {
		t.mark(r)
	}
}

// advance makes a version of a change to one row.
func (t *Table) advance(r *row) {
	t.version++
	t.mark(r)
}

func (t *Table) mark(r *row) {
	r.changed, r.settleAt = t.version, time.Time{}
	if r.source == "" {
		t.own = t.version
	}
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
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[id]
		if r.source != "" || !r.goneAt.IsZero() {
			continue
		}
		c := counts[r.revision]
		if c == nil {
			c = &wire.RevisionCount{Revision: r.revision}
			counts[r.revision] = c
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

// Live returns how many members are known and not gone.
func (t *Table) Live() int {
	n := 0
	for _, r := range t.rows {
		if r.goneAt.IsZero() {
			n++
		}
	}
	return n
}

func sameJobs(a, b []*wire.JobState) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.JobState) bool {
		return cmp.Or(cmp.Compare(x.GetJob(), y.GetJob()), cmp.Compare(x.GetFence(), y.GetFence())) == 0
	})
}
