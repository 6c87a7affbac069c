package kinds_test

import (
	"encoding/json"
	"reflect"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/kinds"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/policy"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/servce"
)

func TestKinds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kinds")
}

func accept(kind, raw string) (kinds.Spec, error) {
	return kinds.Accept(kind, json.RawMessage(raw))
}

func must(kind, raw string) kinds.Spec {
	spec, err := accept(kind, raw)
	Expect(err).NotTo(HaveOccurred())
	return spec
}

var _ = Describe("a spec", func() {
	It("has defaults for what is absent and keeps a zero that is written", func() {
		p, ok := must(object.KindPool, `{"service":"s","models":["m"],"liveReserve":0}`).(pool.Pool)
		Expect(ok).To(BeTrue())
		Expect(p.LiveReserve).To(BeZero())
		Expect(p.SwitchWithin.String()).To(Equal("6s"))
		s, _ := must(object.KindService, `{"service":"s","idempotentMethods":["PUT"]}`).(servce.Service)
		Expect(s.Idempotent("PUT")).To(BeTrue())
		Expect(s.Idempotent("GET")).To(BeFalse())
		q, _ := must(object.KindPolicy, `{"callers":[{"caller":"a","weight":3}]}`).(policy.Policy)
		Expect(q.Quota("a").Weight).To(Equal(3.0))
		Expect(q.Quota("a").MaxShare).To(Equal(1.0))
		Expect(q.Quota("b").Weight).To(Equal(1.0))
	})

	DescribeTable("is refused with the field's name",
		func(kind, raw, want string) {
			_, err := accept(kind, raw)
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry(nil, "pools", `{}`, "kind: is unknown"),
		Entry(nil, object.KindPool, `{}`, "service: is empty"),
		Entry(nil, object.KindPool, `{"service":"s","models":["m","m"]}`, `models: names "m" twice`),
		Entry(nil, object.KindPool, `{"service":"s","models":["m"],"scorer":"10.0.0.1:80"}`, "scorer: is no URL"),
		Entry(nil, object.KindPool, `{"service":"s","models":["m"],"liveReserve":1.5}`, "liveReserve: is a share"),
		Entry(nil, object.KindPool, `{"service":"s","models":["m"],"minimumSlots":5,"guaranteeSlots":3}`, "guaranteeSlots: is below"),
		Entry(nil, object.KindPool, `{"service":"s","models":["m"],"stagePerSecond":0}`, "stagePerSecond: is not above zero"),
		Entry(nil, object.KindSubscription, `{"pool":"p","model":"m","stalenessBound":-1}`, "stalenessBound: is negative"),
		Entry(nil, object.KindSubscription, `{"pool":"p","model":"m","idleWeight":0,"stalenessWeight":0}`, "both 0"),
		Entry(nil, object.KindService, `{"service":"s","idempotentMethods":["get"]}`, `holds "get"`),
		Entry(nil, object.KindService, `{"service":"s","keyWindow":"1s"}`, "keyWindow: is shorter"),
		Entry(nil, object.KindPolicy, `{"callers":[{"caller":"a"},{"caller":"a"}]}`, "callers[1].caller: stands twice"),
		Entry(nil, object.KindPolicy, `{"objectives":[{"name":"o","success":0.9}]}`, "objectives[0].caller: exactly one"),
		Entry(nil, object.KindPolicy, `{"objectives":[{"name":"o","caller":"a","success":1}]}`, "success: is a share"),
		Entry(nil, object.KindPolicy, `{"objectives":[{"name":"o","subscription":"t","success":0.9}]}`, "for live requests"),
		Entry(nil, object.KindPolicy, `{"objectives":[{"name":"o","subscription":"t","idleShare":0.1,"window":"1m"}]}`, "window: is below 1h"),
		Entry(nil, object.KindPolicy, `{"retryBudget":"10%"}`, "retryBudget: is the string"),
	)

	// Operators create and delete in any order and race one another. A
	// subscription to a pool that does not exist would be accepted and its
	// trainer would wait without end.
	It("names only resources that exist", func() {
		held := map[string]kinds.Spec{"pool/p": must(object.KindPool, `{"service":"s","models":["m"]}`)}
		lookup := func(kind, name string) (kinds.Spec, bool) {
			spec, ok := held[kind+"/"+name]
			return spec, ok
		}
		good := must(object.KindSubscription, `{"pool":"p","model":"m"}`)
		Expect(kinds.Refer(good, lookup)).To(Succeed())
		Expect(kinds.Uses(good, object.KindPool, "p")).To(BeTrue())
		Expect(kinds.Uses(good, object.KindPool, "q")).To(BeFalse())
		other := must(object.KindSubscription, `{"pool":"p","model":"x"}`)
		Expect(kinds.Refer(other, lookup)).To(MatchError(ContainSubstring(`model: pool "p" does not serve "x"`)))
		lost := must(object.KindSubscription, `{"pool":"q","model":"m"}`)
		Expect(kinds.Refer(lost, lookup)).To(MatchError(ContainSubstring(`there is no pool "q"`)))
		promise := must(object.KindPolicy, `{"objectives":[{"name":"o","subscription":"t","idleShare":0.1}]}`)
		Expect(kinds.Refer(promise, lookup)).To(MatchError(ContainSubstring(`subscription "t"`)))
		Expect(kinds.Uses(promise, object.KindSubscription, "t")).To(BeTrue())
	})
})

// FuzzAccept holds what operators send against what instances read later: both
// must come to the same spec, and a spec that was accepted must never be refused
// by the instances that have to put it in force.
func FuzzAccept(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s","models":["m"],"scorer":"http://h:1","switchWithin":"6s","liveReserve":0.5}`,
		`{"pool":"p","model":"m","stalenessBound":0,"stepWithin":"4m","cursor":true}`,
		`{"service":"s","idempotentMethods":["GET","PUT"],"keyWindow":"10m","timeout":"5s"}`,
		`{"callers":[{"caller":"a","weight":2}],"objectives":[{"name":"o","caller":"a","success":0.9,"latency":"1s"}]}`,
		`{"models":null}`, `[]`, `{"service":"s","models":["m"],"service":"t"}`, `{"retryBudget":1e-9}`,
	} {
		for _, kind := range object.Kinds {
			f.Add(kind, []byte(seed))
		}
	}
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		accepted, err := kinds.Accept(kind, raw)
		if err != nil {
			return
		}
		read, err := kinds.Read(kind, raw)
		if err != nil {
			t.Fatalf("accepted, but instances cannot read it: %v", err)
		}
		if !reflect.DeepEqual(accepted, read) {
			t.Fatalf("accepted %+v, read %+v", accepted, read)
		}
		stored, err := json.Marshal(accepted)
		if err != nil {
			t.Fatalf("accepted what has no JSON: %v", err)
		}
		if _, err := kinds.Accept(kind, stored); err != nil {
			t.Fatalf("the spec with its defaults written out is refused: %v", err)
		}
	})
}
