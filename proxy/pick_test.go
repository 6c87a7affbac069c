package proxy

import (
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/meter"
)

// Many entries forward a request each at the same time. None knows of the others' requests; if
// all of them order equal endpoints in the same way, one endpoint gets everything, turns callers
// away, and the others idle.
func TestEntriesPreferDifferentEndpoints(t *testing.T) {
	const endpoints = 4
	for _, entries := range []int{50, 400, 800} {
		g, set, requests := NewWithT(t), epset.New(func() {}), make(map[string]int)
		for i := range endpoints {
			set.Put(endpt.Endpoint{ID: fmt.Sprint("desk-", i), Service: "desk", Slots: 6})
		}
		for i := range entries {
			f := New(set, nil, "", logs.New(io.Discard), meter.New(), WithInstance(fmt.Sprint("entry-", i)))
			e, ok := f.pick("desk", nil)
			g.Expect(ok).To(BeTrue())
			requests[e.ID]++
			again, _ := f.pick("desk", nil)
			g.Expect(again.ID).To(Equal(e.ID), "an idle entry goes back to the endpoint to which it is connected")
		}
		for id, n := range requests {
			g.Expect(n).To(BeNumerically("<", 2*entries/endpoints), "%s of %d entries", id, entries)
		}
	}
}
