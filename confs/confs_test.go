package confs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	seed   = 7
	rounds = 300
)

func TestConfs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confs")
}

func poolAt(name string, revision int64, maxOutput int) *wire.Resource {
	body := fmt.Sprintf(`{"apiVersion":"lavendermux/v1","kind":"pool","name":%q,"operation":"op-%d",
		"spec":{"service":"filing-lm","models":["m"],"maxOutput":%d,"fromTheFuture":1}}`, name, revision, maxOutput)
	return &wire.Resource{Kind: object.KindPool, Name: name, Revision: revision, Body: []byte(body)}
}

func goneAt(name string, revision int64) *wire.Resource {
	return &wire.Resource{Kind: object.KindPool, Name: name, Revision: revision, Deleted: true}
}

func answer(revision int64, whole bool, resources ...*wire.Resource) *wire.FetchResponse {
	return &wire.FetchResponse{Revision: revision, Whole: whole, Resources: resources}
}

var _ = Describe("Cache", func() {
	It("reads specs with their defaults and passes over fields of newer releases", func() {
		c := confs.New()
		Expect(c.Loaded()).To(BeFalse())
		Expect(c.Apply(answer(5, true, poolAt("a", 5, 100)))).To(BeTrue())
		p, ok := c.Pool("a")
		Expect(ok).To(BeTrue())
		Expect(p.MaxOutput).To(Equal(100))
		Expect(p.QueueLimit).To(Equal(64))
		Expect(c.Pools()).To(HaveLen(1))
		o, _ := c.Object(object.KindPool, "a")
		Expect(o.Revision).To(Equal(int64(5)))
		Expect(o.Operation).To(Equal("op-5"))
	})

	// A peer loses its links for a minute while operators go on changing things,
	// then answers again with what it held before. If its answer were believed
	// an operator would see an accepted change vanish, or a deleted pool return.
	It("never goes back", func() {
		c := confs.New()
		c.Apply(answer(10, true, poolAt("a", 4, 1), poolAt("b", 9, 2)))
		c.Apply(answer(12, false, poolAt("a", 11, 3), goneAt("b", 12)))
		Expect(c.Apply(answer(10, true, poolAt("a", 4, 1), poolAt("b", 9, 2)))).To(BeFalse())
		Expect(c.Apply(answer(13, false, poolAt("a", 4, 1), poolAt("b", 9, 2)))).To(BeTrue())
		Expect(c.Learn(poolAt("b", 9, 2))).To(BeFalse())
		p, _ := c.Pool("a")
		Expect(p.MaxOutput).To(Equal(3))
		_, ok := c.Pool("b")
		Expect(ok).To(BeFalse())
		at, ok := c.Tombstone(object.KindPool, "b")
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(int64(12)))
	})

	// Someone writes bytes into the key-value service past the resource API. All
	// instances read them within seconds; if they dropped the pool for it every
	// caller would be refused.
	It("keeps the last good spec of a resource that cannot be read", func() {
		c := confs.New()
		c.Apply(answer(5, true, poolAt("a", 5, 100)))
		broken := poolAt("a", 6, -1)
		Expect(c.Apply(answer(6, false, broken))).To(BeTrue())
		p, _ := c.Pool("a")
		Expect(p.MaxOutput).To(Equal(100))
		Expect(c.Problem(object.KindPool, "a")).To(MatchError(ContainSubstring("maxOutput")))
		c.Apply(answer(7, false, poolAt("a", 7, 8)))
		Expect(c.Problem(object.KindPool, "a")).To(Succeed())
	})

	It("reads its own write ahead of the answer and keeps what lies between", func() {
		c := confs.New()
		c.Apply(answer(5, true, poolAt("a", 5, 1)))
		changed := c.Changed()
		Expect(c.Learn(poolAt("a", 9, 2))).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(c.Revision()).To(Equal(int64(5)))
		c.Apply(answer(9, false, poolAt("b", 7, 3), poolAt("a", 9, 2)))
		Expect(c.Pools()).To(HaveLen(2))
	})

	It("takes records of resources only", func() {
		r, ok := confs.FromRecord(record.Record{Key: "resources/pool/a", Value: []byte("{}"), Revision: 3})
		Expect(ok).To(BeTrue())
		Expect(r.GetName()).To(Equal("a"))
		_, ok = confs.FromRecord(record.Record{Key: "jobs/a"})
		Expect(ok).To(BeFalse())
	})

	// Readers fall behind by any distance, further than deletions are remembered
	// too, and fetch from whichever hub answers. One that kept a deleted pool
	// would go on serving it and no status would show why.
	It("brings every reader to the writer's state, whatever it missed", func() {
		rng := rand.New(rand.NewPCG(seed, seed))
		hub := confs.New(confs.WithTombstones(2))
		second := confs.New(confs.WithTombstones(2))
		truth := make(map[string]int)
		readers := []*confs.Cache{confs.New(), confs.New(), confs.New(confs.WithTombstones(1))}
		for revision := int64(1); revision <= rounds; revision++ {
			name := fmt.Sprintf("p%d", rng.IntN(8))
			r := goneAt(name, revision)
			delete(truth, name)
			if rng.IntN(3) > 0 {
				truth[name] = 1 + rng.IntN(1000)
				r = poolAt(name, revision, truth[name])
			}
			hub.Apply(answer(revision, false, r))
			if rng.IntN(20) == 0 {
				second.Apply(hub.Fetch(second.Revision()))
			}
			for _, c := range readers {
				from := []*confs.Cache{hub, second}[rng.IntN(2)]
				if rng.IntN(10) == 0 {
					c.Apply(from.Fetch(c.Revision()))
				}
			}
		}
		for _, c := range readers {
			c.Apply(second.Fetch(c.Revision()))
			c.Apply(hub.Fetch(c.Revision()))
			held := make(map[string]int)
			for name, p := range c.Pools() {
				held[name] = p.MaxOutput
			}
			Expect(held).To(Equal(truth))
		}
	})
})
