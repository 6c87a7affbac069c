package broute

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/brun"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/mesh"
)

// settleTime is the time after which a result that was read must be in each list.
const settleTime = time.Second

// replace has an instance on the other side of a partition take over a batch of the first entry, which
// has nothing to write, and list the results of its items there.
func (c *cluster) replace(ctx context.Context, id string) (owner, successor *instance) {
	owner, successor = c.entries[0], c.entries[1]
	sub := submission(id)
	rec, created, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose(id, nil), time.Now())
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(created).To(BeTrue())
	owner.runner.Add(ctx, rec, sub, nil, nil)
	time.Sleep(time.Second)
	for _, in := range append(c.data[1:], c.entries[1:]...) {
		in.givesUp.Store(true)
	}
	c.split()
	time.Sleep(lossTime)
	found, _, err := read(ctx, successor, id)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(found).To(HaveLen(len(sub.Items)))
	c.g.Expect(owner.runner.Has(id)).To(BeTrue())
	return owner, successor
}

// An owner that was replaced, and hears neither of its successor nor of the store as it has nothing to
// write, answers reads from memory: results that were read elsewhere are gone.
func TestReplacedOwnerDoesNotAnswerReads(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, _ := c.replace(ctx, "b")
		time.Sleep(settleTime)
		found, _, err := read(ctx, owner, "b")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(found).To(HaveLen(3))
	})
}

// The same with a successor that hasn't finished: the former owner reaches too few replicas to take the
// batch back, and must not say that there are no results.
func TestReplacedOwnerWhileItsSuccessorGoesOn(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, successor := c.entries[0], c.entries[1]
		id := c.batchRankedFirst(successor, owner)
		sub := submission(id)
		rec, _, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose(id, nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		time.Sleep(time.Second)
		c.split()
		time.Sleep(lossTime)
		head, err := successor.store.Load(ctx, id)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(head.Owner).To(Equal(successor.self))
		time.Sleep(settleTime)
		_, _, err = read(ctx, owner, id)
		c.g.Expect(err).To(HaveOccurred())
		c.g.Expect(owner.runner.Has(id)).To(BeFalse())
	})
}

// The same while the owner doesn't reach the store, as the successor does: the replicas that it reaches
// are too few to tell that it is still the owner, and it must say that it can't tell.
func TestCutOffOwnerDoesNotAnswerReads(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, _ := c.replace(ctx, "b")
		owner.link.isCut.Store(true)
		time.Sleep(settleTime)
		_, _, err := read(ctx, owner, "b")
		var none *NotFoundError
		c.g.Expect(err).To(HaveOccurred())
		c.g.Expect(errors.As(err, &none)).To(BeFalse(), "the batch exists: %v", err)
	})
}

// The successor has ended the batch, of which no peer then tells as an open one: once the partition is
// healed, the owner must not go on with a list of its own.
func TestReplacedOwnerOfAnEndedBatch(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, successor := c.replace(ctx, "b")
		c.g.Expect(successor.End(ctx, BatchRef{ID: "b"})).To(Succeed())
		for _, in := range []*instance{c.entries[0], c.data[0]} {
			for _, other := range slices.Concat(c.entries[1:], c.data[1:]) {
				c.net.Heal(in.ip, other.ip)
			}
		}
		time.Sleep(settleTime)
		found, _, err := read(ctx, owner, "b")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(found).To(HaveLen(3))
	})
}

// Nobody reaches the store. The owner must go on to answer, since no successor can have sealed the
// replicas that it reaches.
func TestOwnerAnswersWithoutTheStore(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner := c.entries[0]
		sub := submission("b")
		rec, _, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose("b", nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		for _, in := range slices.Concat(c.entries, c.data) {
			in.link.isCut.Store(true)
		}
		for range 10 {
			time.Sleep(settleTime)
			for _, in := range c.entries {
				_, _, err := read(ctx, in, "b")
				c.g.Expect(err).NotTo(HaveOccurred())
			}
		}
	})
}

// Callers ask for results that don't exist yet. The store isn't asked for each of them who owns the
// batch.
func TestReadsCostTheStoreLittle(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner := c.entries[0]
		sub := submission("b")
		rec, _, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose("b", nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		before := owner.link.reads.Load()
		const reads, pause = 400, 10 * time.Millisecond
		for range reads {
			_, _, err := read(ctx, owner, "b")
			c.g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(pause)
		}
		c.g.Expect(owner.link.reads.Load() - before).To(BeNumerically("<=", reads*pause/(400*time.Millisecond)))
	})
}

// The owner answers an entry that there are no results yet, while it is known to be the owner, and the
// answer is delayed on its way. By the time at which it arrives, a successor has listed results, which were
// read there more than a second before. The entry must not pass it on.
func TestPageDelayedBetweenInstances(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, successor, reader := c.entries[0], c.entries[1], c.entries[2]
		sub := submission("b")
		rec, created, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose("b", nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(created).To(BeTrue())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		time.Sleep(time.Second)
		found, _, err := read(ctx, reader, "b") // the reader knows the owner, which was just confirmed
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(found).To(BeEmpty())

		start := time.Now()
		var readAt time.Time
		go func() { // the owner hands the batch over, and doesn't hear that it was taken
			time.Sleep(10 * time.Millisecond)
			successor.givesUp.Store(true)
			time.AfterFunc(5*time.Millisecond, func() { c.net.PartitionOneWay(successor.ip, owner.ip) })
			owner.offer(ctx, successor.mesh.Self(), []string{"b"}, owner.self)
		}()
		go func() {
			for len(found) == 0 && time.Since(start) < 3*time.Second {
				found, _, _ = read(ctx, successor, "b")
				readAt = time.Now()
				time.Sleep(10 * time.Millisecond)
			}
		}()
		const wait = 450 * time.Millisecond
		time.AfterFunc(wait-20*time.Millisecond, func() { c.net.PartitionOneWay(owner.ip, reader.ip) })
		time.AfterFunc(wait+askTimeout-50*time.Millisecond, func() { c.net.Heal(owner.ip, reader.ip) })
		page, err := reader.Read(ctx, BatchRef{ID: "b"}, 0, 1<<20, wait)
		took := time.Since(start)
		c.g.Expect(found).To(HaveLen(3), "at the successor")
		t.Logf("results were read %v after the start, the page came after %v: %v, %v", readAt.Sub(start), took, page, err)
		if late := time.Since(readAt); err == nil && late > settleTime {
			c.g.Expect(page.Results).NotTo(BeEmpty(), "%v after they were read", late)
		}
	})
}

// An owner that was replaced doesn't hear of that, and its successor is lost. The others must not take
// the announcement of the former for that of an owner: the batch would have none, and its items would run
// nowhere.
func TestSuccessorOfReplacedOwnerIsLost(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, successor, other := c.entries[0], c.entries[1], c.entries[2]
		id := c.batchRankedFirst(owner, successor)
		sub := submission(id)
		rec, created, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose(id, nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(created).To(BeTrue())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		time.Sleep(time.Second)
		time.AfterFunc(5*time.Millisecond, func() { c.net.PartitionOneWay(successor.ip, owner.ip) })
		owner.offer(ctx, successor.mesh.Self(), []string{id}, owner.self)
		time.Sleep(time.Second)
		c.g.Expect(successor.runner.Has(id)).To(BeTrue())
		c.kill(successor)
		time.Sleep(10 * lossTime)
		head, err := other.store.Load(ctx, id)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(head.Owner).NotTo(Equal(successor.self), "nobody has taken the batch over; the former owner has it: %v", owner.runner.Has(id))
	})
}

// Two entries are cut off from each other only, and callers read a batch at both. They must not take it from
// each other again and again: each takeover cancels the runs of its items.
func TestOwnersOnBothSidesOfACut(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, other := c.entries[0], c.entries[1]
		sub := submission("b")
		rec, created, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose("b", nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(created).To(BeTrue())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		time.Sleep(time.Second)
		c.net.Partition(owner.ip, other.ip)
		refused, answered := 0, 0
		for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(300 * time.Millisecond) {
			for _, in := range c.entries[:2] {
				if _, _, err := read(ctx, in, "b"); err != nil {
					refused++
				} else {
					answered++
				}
			}
		}
		head, err := c.entries[2].store.Load(ctx, "b")
		c.g.Expect(err).NotTo(HaveOccurred())
		t.Logf("epoch %d, owner %s, answered %d, refused %d", head.Epoch, head.Owner, answered, refused)
		c.g.Expect(head.Epoch).To(BeNumerically("<=", firstEpoch+2))
	})
}

// An entry of an earlier version asks an owner that can't tell whether it still owns the batch. It doesn't know
// that answer, and must not take it for a page without items or results.
func TestUnconfirmedOwnerAskedByAnEarlierVersion(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, asking := c.entries[0], c.entries[2]
		sub := submission("b")
		rec, _, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose("b", nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		owner.link.isCut.Store(true)
		c.cutFromData(owner)
		time.Sleep(lossTime)
		type earlierResponse struct {
			Owned bool      `json:"held"`
			Page  brun.Page `json:"page"`
		}
		req := askRequest{Op: opRead, ID: "b", Limit: 1 << 20}
		res, err := mesh.Call[askRequest, earlierResponse](ctx, asking.mesh.Client(), owner.mesh.Self().Addr, PeerPath, &req)
		if err == nil && res.Owned {
			c.g.Expect(res.Page.Total).To(Equal(len(sub.Items)))
		}
	})
}

// An entry knows only an earlier owner of a batch, and doesn't hear the present one, which all others hear. It
// must not take the batch from that.
func TestTakeoverByAnOutdatedRecord(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, other := c.entries[0], c.entries[1]
		sub := submission("b")
		rec, _, err := owner.store.Create(ctx, sub, owner.self, owner.replicas.Choose("b", nil), time.Now())
		c.g.Expect(err).NotTo(HaveOccurred())
		owner.runner.Add(ctx, rec, sub, nil, nil)
		time.Sleep(time.Second)
		c.net.Partition(owner.ip, other.ip)
		time.Sleep(lossTime)
		before, err := owner.store.Load(ctx, "b")
		c.g.Expect(err).NotTo(HaveOccurred())
		holder, outdated := owner, other
		if before.Owner == other.self {
			holder, outdated = other, owner
		}
		outdated.runner.Drop("b", "replaced")
		err = outdated.joinTakeover(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "an earlier one", Epoch: firstEpoch}})
		var fenced *bstore.FencedError
		c.g.Expect(errors.As(err, &fenced)).To(BeTrue(), "error %v", err)
		c.g.Expect(fenced.Now.Owner).To(Equal(holder.self))
	})
}
