// Package tenure knows which endpoint is the home of an idempotency key, and
// since when.
//
// The list of homes changes when an instance comes or goes, and some keys then
// get another home. The new one does not know what ran at the old one: were it
// to take every key for new, a parent who asks again would book a second slot.
// So for as long as a key may be repeated, an endpoint tells the keys that have
// just moved to it from those it has always had.
package tenure

import (
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/rendez"
)

// keepLists is how many earlier lists are remembered. Instances of one service
// change a few times a day and a key lives for minutes, so this is plenty; when
// more came, the oldest counts as the beginning.
const keepLists = 64

type (
	// Tenure is what one endpoint knows of the lists of homes. It is safe for
	// concurrent use. See New.
	Tenure struct {
		self string

		mu sync.Mutex
		// lists are in the order in which they came; the last is in force.
		lists []list
	}

	list struct {
		doors []string
		from  time.Time
	}
)

// New returns the tenure of the endpoint instance self, which has no list yet.
//
//	t := tenure.New("case-desk-1")
//	t.Note([]string{"case-desk-1", "case-desk-2"}, false, now)
func New(self string) *Tenure {
	return &Tenure{self: self}
}

// HomeOf returns which of the doors is the home of an idempotency key, "" when
// there is none.
func HomeOf(key string, doors []string) string {
	first := rendez.First(key, doors, 1, func(id string) string { return id })
	if len(first) == 0 {
		return ""
	}
	return first[0]
}

// Note takes in the list that is in force now. Founded says that it is the
// service's first list and that this endpoint has run since before it: then
// nothing can have run under its keys that it does not know.
func (t *Tenure) Note(doors []string, founded bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lists) > 0 && slices.Equal(t.lists[len(t.lists)-1].doors, doors) {
		return
	}
	if len(t.lists) == 0 && len(doors) == 0 {
		return
	}
	from := now
	if len(t.lists) == 0 && founded {
		from = time.Time{}
	}
	t.lists = append(t.lists, list{doors: slices.Clone(doors), from: from})
	if len(t.lists) > keepLists {
		t.lists = t.lists[1:]
	}
}

// Home reports whether the endpoint is the home of key, and since when it has
// been so without a break; zero means always.
func (t *Tenure) Home(key string) (bool, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var since time.Time
	home := false
	for i := len(t.lists) - 1; i >= 0; i-- {
		if HomeOf(key, t.lists[i].doors) != t.self {
			break
		}
		home = true
		since = t.lists[i].from
	}
	return home, since
}
