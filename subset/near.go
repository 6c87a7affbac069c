package subset

import (
	"cmp"
	"slices"

	"github.com/lavendermux/lavendermux/wire"
)

// minPerDataCentre is how many endpoints of each farther data centre an entry
// talks to even when its own has enough: two, so that there is a second choice
// when its own data centre is full or has just been lost.
const minPerDataCentre = 2

// zone is the endpoints of one data centre.
type zone struct {
	dataCentre string
	// distance is 0 for the entry's own data centre, 1 for the others of its region,
	// and 2 for those of other regions.
	distance  int
	endpoints []*wire.EndpointState
}

// PickByLocality returns the endpoints that self talks to, those of its own data centre
// before the others. A subset drawn from all data centres alike would hold mostly
// far endpoints: with seven data centres, only one in seven is near. Farther data
// centres contribute a few endpoints each, and more when the nearer ones don't
// fill the subset. An entry without a data centre draws from all alike.
func (s *Selector) PickByLocality(self string, entries []*wire.EntryState, endpoints []*wire.EndpointState) []*wire.EndpointState {
	own := findEntry(self, entries)
	if own == nil || len(endpoints) <= s.size {
		return s.draw(self, s.size, names(entries, nil), endpoints)
	}
	var near []*wire.EndpointState
	zones := groupByDataCentre(own, endpoints)
	for distance := range 3 {
		level := slices.DeleteFunc(slices.Clone(zones), func(z *zone) bool { return z.distance != distance })
		for i, z := range level {
			// The missing endpoints are spread over the data centres of this
			// distance.
			missing := max(s.size-len(near), 0)
			size := (missing + len(level) - i - 1) / (len(level) - i)
			near = append(near, s.draw(self, max(size, minPerDataCentre), peers(own, z, entries), z.endpoints)...)
		}
	}
	return near
}

func (s *Selector) draw(self string, size int, peers []string, endpoints []*wire.EndpointState) []*wire.EndpointState {
	byName := make(map[string]*wire.EndpointState, len(endpoints))
	all := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		byName[e.GetInstance()] = e
		all = append(all, e.GetInstance())
	}
	var drawn []*wire.EndpointState
	for _, name := range s.pick(self, size, peers, all) {
		drawn = append(drawn, byName[name])
	}
	return drawn
}

func findEntry(self string, entries []*wire.EntryState) *wire.EntryState {
	for _, e := range entries {
		if e.GetInstance() == self && e.GetDataCentre() != "" {
			return e
		}
	}
	return nil
}

// peers returns the entries that draw from a data centre at the same distance as
// own. Their subsets are adjacent.
func peers(own *wire.EntryState, z *zone, entries []*wire.EntryState) []string {
	return names(entries, func(e *wire.EntryState) bool {
		inside := e.GetDataCentre() == z.dataCentre
		switch z.distance {
		case 0:
			return inside
		case 1:
			return !inside && e.GetRegion() == own.GetRegion()
		default:
			return e.GetRegion() == own.GetRegion()
		}
	})
}

func names(entries []*wire.EntryState, wanted func(*wire.EntryState) bool) []string {
	var all []string
	for _, e := range entries {
		if wanted == nil || wanted(e) {
			all = append(all, e.GetInstance())
		}
	}
	return all
}

// groupByDataCentre returns the zones of endpoints, sorted by data centre.
func groupByDataCentre(own *wire.EntryState, endpoints []*wire.EndpointState) []*zone {
	byName := map[string]*zone{}
	var zones []*zone
	for _, e := range endpoints {
		z, ok := byName[e.GetDataCentre()]
		if !ok {
			z = &zone{dataCentre: e.GetDataCentre(), distance: distance(own, e)}
			byName[z.dataCentre] = z
			zones = append(zones, z)
		}
		z.endpoints = append(z.endpoints, e)
	}
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.dataCentre, b.dataCentre) })
	return zones
}

func distance(own *wire.EntryState, e *wire.EndpointState) int {
	switch {
	case e.GetDataCentre() == own.GetDataCentre():
		return 0
	case e.GetRegion() == own.GetRegion():
		return 1
	default:
		return 2
	}
}
