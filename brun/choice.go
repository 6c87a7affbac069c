package brun

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/lineup"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/place"
	"github.com/lavendermux/lavendermux/rendez"
)

type (
	// choices are the endpoints that the items of a batch may use, as they are in one pass
	// over the items. They are read from the registry once: with hundreds of engines, a copy
	// for each item would take most of the owner's processor.
	choices struct {
		// suitable has the endpoints whose weights suit the batch, with the runs that were
		// started in this pass.
		suitable []epset.View
		// avoidsFailed is set if some of them haven't failed recently; the others are avoided.
		avoidsFailed bool
		// preferred has the indices in suitable of those that lineup chooses from, and
		// preferredAt the position in it of each endpoint, by ID.
		preferred   []int
		preferredAt map[string]int
		lineup      *lineup.Lineup
		// fullVersions has the weight versions without a free slot at any endpoint.
		fullVersions map[int64]bool
		// typicalTime is the median event interval of the preferred endpoints, if measured.
		typicalTime time.Duration
	}

	// moves are the choices for runs that may go on elsewhere, as they are in one sweep.
	moves struct {
		byBatch map[moveKey]*choices
		// incoming counts the runs that this sweep has cancelled in favor of each endpoint, by
		// its ID. They don't run there yet; without the count all slow runs would go to the
		// one fastest endpoint, be refused there, and lose more time than they gain.
		incoming map[string]int
	}

	moveKey struct {
		batch   *tracked
		service string
	}
)

func newMoves() *moves {
	return &moves{byBatch: make(map[moveKey]*choices), incoming: make(map[string]int)}
}

// choices returns the endpoints with a known speed to which runs of a batch may move.
func (m *moves) choices(r *Runner, b *tracked, service string, now time.Time) *choices {
	key := moveKey{batch: b, service: service}
	c := m.byBatch[key]
	if c == nil {
		c = r.newChoices(service, b.sub, now, func(v epset.View) bool { return v.UnitTime > 0 && !now.Before(v.AvoidUntil) }, m.incoming, eventInterval)
		m.byBatch[key] = c
	}
	return c
}

// newChoices returns the choices of a batch at a service among the endpoints that keep
// accepts. incoming counts the runs that are on their way to an endpoint, by its ID, and interval
// returns the event interval that a run has to expect there.
func (r *Runner) newChoices(service string, sub *batch.Submission, now time.Time, keep func(epset.View) bool, incoming map[string]int,
	interval func(epset.View) float64) *choices {
	c := &choices{fullVersions: make(map[int64]bool), suitable: slices.DeleteFunc(r.endpoints.Available(service), func(v epset.View) bool {
		return v.Loading[sub.Model] || v.Versions[sub.Model] < sub.MinVersion
	})}
	for i := range c.suitable {
		c.suitable[i].Running += incoming[c.suitable[i].ID]
	}
	c.avoidsFailed = hasUnfailed(c.suitable, now)
	for i, v := range c.suitable {
		if keep(v) && (!c.avoidsFailed || !now.Before(v.AvoidUntil)) {
			c.preferred = append(c.preferred, i)
		}
	}
	// Among equals each model has an order of its own. Otherwise the owners of all models,
	// which don't know each other's runs, would begin with the same endpoints.
	c.preferred = rendez.Order(sub.Model, c.preferred, func(i int) string { return c.suitable[i].ID })
	c.preferredAt = make(map[string]int, len(c.preferred))
	views := make([]epset.View, len(c.preferred))
	for at, i := range c.preferred {
		c.preferredAt[c.suitable[i].ID] = at
		views[at] = c.suitable[i]
	}
	c.typicalTime = medianUnitTime(views)
	c.lineup = lineup.New(r.picker, candidates(views, r.dataCentre, now, interval))
	return c
}

// medianUnitTime returns the median of the measured event intervals, the lower of two; 0 if there
// are none.
func medianUnitTime(views []epset.View) time.Duration {
	var measured []time.Duration
	for _, v := range views {
		if v.UnitTime > 0 {
			measured = append(measured, v.UnitTime)
		}
	}
	if len(measured) == 0 {
		return 0
	}
	slices.Sort(measured)
	return measured[(len(measured)-1)/2]
}

// hasUnfailed reports whether any endpoint hasn't failed recently. Those that have are then
// excluded, even if all others are full: a slot becomes free several times a second, while
// a run at a silent endpoint is lost for maxSilence, as others just were.
func hasUnfailed(views []epset.View, now time.Time) bool {
	return slices.ContainsFunc(views, func(v epset.View) bool { return !now.Before(v.AvoidUntil) })
}

// take returns the best endpoint with a free slot for an item and counts a run there, or the cause
// for which the item waits. An endpoint with other weights than those of a pinned item means that
// the item begins anew.
func (r *Runner) take(c *choices, sub *batch.Submission, it *item, route *manif.Route, now time.Time) (v epset.View, wait waitCause) {
	if isPinned(it, route) {
		i, ok := r.takeWeights(c, sub.Model, it, now)
		if ok {
			return c.suitable[i], ""
		}
		if it.awaitsWeights(c, sub.Model, now) {
			return epset.View{}, waitVersion
		}
	}
	i, ok := c.lineup.Take()
	if !ok {
		return epset.View{}, waitSlot
	}
	i = c.preferred[i]
	c.suitable[i].Running++
	return c.suitable[i], ""
}

// takeWeights counts a run at the best endpoint that has the weights of a pinned item, and returns
// its index.
func (r *Runner) takeWeights(c *choices, model string, it *item, now time.Time) (index int, ok bool) {
	if len(it.versions) != 1 || c.fullVersions[it.versions[0]] {
		return 0, false
	}
	index, ok = r.takeAmong(c, now, func(v epset.View) bool { return it.hasWeightsOf(v, model) && !now.Before(v.AvoidUntil) })
	if !ok {
		c.fullVersions[it.versions[0]] = true
	}
	return index, ok
}

// takeAmong counts a run at the best suitable endpoint that keep accepts, and returns its index.
func (r *Runner) takeAmong(c *choices, now time.Time, keep func(epset.View) bool) (index int, ok bool) {
	var indices []int
	for i, v := range c.suitable {
		if keep(v) {
			indices = append(indices, i)
		}
	}
	views := make([]epset.View, len(indices))
	for at, i := range indices {
		views[at] = c.suitable[i]
	}
	at, ok := r.picker.Pick(candidates(views, r.dataCentre, now, newRunInterval))
	if !ok {
		return 0, false
	}
	c.count(c.suitable[indices[at]].ID)
	return indices[at], true
}

// hasWeightsOf reports whether the text of an item was generated by the weights that an endpoint
// has now.
func (it *item) hasWeightsOf(v epset.View, model string) bool {
	return len(it.versions) == 1 && v.Versions[model] == it.versions[0]
}

// awaitsWeights reports whether a pinned item should wait for a slot at an endpoint with its
// weights rather than begin anew elsewhere. It waits for no longer than its text takes to be
// generated again, so that the wait costs at most as much as what it may save.
func (it *item) awaitsWeights(c *choices, model string, now time.Time) bool {
	if it.weightsAwaitedSince.IsZero() {
		it.weightsAwaitedSince = now
	}
	interval := c.typicalTime
	if interval == 0 {
		interval = defaultEventInterval
	}
	return now.Sub(it.weightsAwaitedSince) < time.Duration(len(it.texts))*interval &&
		slices.ContainsFunc(c.suitable, func(v epset.View) bool { return it.hasWeightsOf(v, model) })
}

// other returns the best endpoint with a free slot to which a running item could move.
func (r *Runner) other(c *choices, it *item, model string, route *manif.Route, now time.Time) (epset.View, bool) {
	except, ok := c.preferredAt[it.endpoint.ID]
	if !ok {
		except = -1
	}
	if !isPinned(it, route) {
		i, ok := c.lineup.Best(except)
		if !ok {
			return epset.View{}, false
		}
		return c.suitable[c.preferred[i]], true
	}
	var allowed []epset.View
	for at, i := range c.preferred {
		if v := c.suitable[i]; at != except && it.hasWeightsOf(v, model) {
			allowed = append(allowed, v)
		}
	}
	i, ok := r.picker.Pick(candidates(allowed, r.dataCentre, now, eventInterval))
	if !ok {
		return epset.View{}, false
	}
	return allowed[i], true
}

// count counts a run at an endpoint that the lineup didn't choose.
func (c *choices) count(id string) {
	if at, ok := c.preferredAt[id]; ok {
		c.lineup.Add(at)
	}
	i := slices.IndexFunc(c.suitable, func(v epset.View) bool { return v.ID == id })
	c.suitable[i].Running++
}

// isPinned reports whether the text of an item may only go on under the weights that generated it.
// Weights aren't kept anywhere: once all endpoints have newer ones, the item has to begin anew.
func isPinned(it *item, route *manif.Route) bool {
	return route.SingleVersion && len(it.versions) > 0
}

func candidates(views []epset.View, centre string, now time.Time, interval func(epset.View) float64) []place.Candidate {
	out := make([]place.Candidate, len(views))
	for i, v := range views {
		out[i] = place.Candidate{
			Slots:    v.Slots,
			Running:  v.Running,
			UnitTime: interval(v),
			Remote:   v.DataCentre != centre,
			Avoid:    now.Before(v.AvoidUntil) || now.Before(v.SuspectUntil),
		}
	}
	return out
}

func eventInterval(v epset.View) float64 {
	if v.UnitTime == 0 {
		return defaultEventInterval.Seconds()
	}
	return v.UnitTime.Seconds()
}

// newRunInterval returns the event interval in seconds that a new run has to expect. A run takes
// seconds, and the last ten events of an engine may be from a moment of some tenths of a second.
func newRunInterval(v epset.View) float64 {
	if v.Pace == 0 {
		return eventInterval(v)
	}
	return v.Pace.Seconds()
}
