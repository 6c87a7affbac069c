package proxy

import (
	"fmt"
	"io"
	"testing"
	"time"

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

// One of four endpoints is lastingly slow, or in a slow spell. All entries must leave it, and
// must spread over the others rather than gather at the fastest.
func TestSlowEndpointIsLeft(t *testing.T) {
	const entries, endpoints = 400, 4
	g, set, now, requests := NewWithT(t), epset.New(func() {}), time.Now(), make(map[string]int)
	for i := range endpoints {
		set.Put(endpt.Endpoint{ID: fmt.Sprint("desk-", i), Service: "desk", Slots: 2})
	}
	for range 20 {
		now = now.Add(time.Second)
		for i, v := range set.Available("desk") {
			took := 24 * time.Millisecond
			switch i {
			case 0:
				took *= 2
			case 1:
				took = took * 5 / 6
			}
			set.ObserveRequest(v.Endpoint, took, now)
		}
		set.JudgeSpeeds(now)
	}
	for i := range entries {
		f := New(set, nil, "", logs.New(io.Discard), meter.New(), WithInstance(fmt.Sprint("entry-", i)))
		e, _ := f.pick("desk", nil)
		requests[e.ID]++
	}
	g.Expect(requests).To(And(HaveLen(endpoints-1), Not(HaveKey("desk-0"))))
	for id, n := range requests {
		g.Expect(n).To(BeNumerically("<", 2*entries/(endpoints-1)), "%s of %d entries", id, entries)
	}
	for _, v := range set.Available("desk")[1:] {
		for range v.Slots * requestsPerSlot {
			set.Begin(v.Endpoint)
		}
	}
	f := New(set, nil, "", logs.New(io.Discard), meter.New())
	e, ok := f.pick("desk", nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(e.ID).To(Equal("desk-0"), "the others are full")
}
