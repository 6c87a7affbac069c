package broute

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/kvst"
)

// retireDisk has a data instance empty its disk and be taken away with it.
func (c *cluster) retireDisk(ctx context.Context, in *instance) {
	c.g.Expect(in.replicas.CloseDisk()).To(Succeed())
	use, err := in.UseOfOwnDisk(ctx, in.replicas.Pending())
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(use.IsNone()).To(BeTrue())
	self := in.mesh.Self()
	_, err = c.kv.Commit(ctx, kvst.Txn{Puts: []kvst.Put{bstore.RetiredDisk(self.Disk, self.Name)}})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.kill(in)
}

// The write that creates a batch takes effect after an instance that it names was emptied and taken
// away. The owner lists results and is lost before it has replaced the disk, and another disk is lost,
// which is tolerated. The batch must go on: the disk that was taken away has never had any of it.
func TestRecordNamesARetiredDisk(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner := c.entries[0]
		replicas := owner.replicas.Choose("b", nil)
		c.retireDisk(ctx, c.data[2])
		listed := c.acceptOn(ctx, owner, "b", replicas)
		c.kill(owner)
		c.kill(c.data[1])
		time.Sleep(lossTime)
		for _, in := range c.entries[1:] {
			found, _, err := read(ctx, in, "b")
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(found).To(Equal(listed))
		}
	})
}

// As before, but both of the other disks are out of reach. Nobody may continue the batch: its listed
// results are on these two.
func TestRetiredDiskIsNoReplica(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner := c.entries[0]
		replicas := owner.replicas.Choose("b", nil)
		c.retireDisk(ctx, c.data[2])
		listed := c.acceptOn(ctx, owner, "b", replicas)
		c.kill(owner)
		for _, in := range c.entries[1:] {
			c.cutFromData(in)
		}
		time.Sleep(lossTime)
		for range 20 {
			for _, in := range c.entries[1:] {
				c.g.Expect(in.runner.Has("b")).To(BeFalse())
			}
			time.Sleep(time.Second)
		}
		for _, in := range c.entries[1:] {
			c.healFromData(in)
		}
		time.Sleep(returnTime)
		found, _, err := read(ctx, c.entries[1], "b")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(found).To(Equal(listed))
	})
}

// A disk is needed as long as a record says so: of an open batch whose results the store may lack, and
// of a model.
func TestUseOfDisk(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		owner, data := c.entries[0], c.data[0]
		listed := c.accept(ctx, owner, "b")
		in := bstore.Intake{Model: model, Holder: owner.self, Epoch: 1, Replicas: owner.replicas.Choose(intakeLog(model), nil)}
		c.g.Expect(owner.store.SaveIntake(ctx, bstore.Intake{Model: model}, &in)).To(Succeed())
		c.g.Expect(data.replicas.CloseDisk()).To(Succeed())
		use := c.useOf(ctx, data)
		c.g.Expect(use.Batches).To(Equal([]string{"b"}))
		c.g.Expect(use.Models).To(Equal([]string{model}))
		next := in
		next.Replicas = in.Replicas[:0]
		c.g.Expect(owner.store.SaveIntake(ctx, in, &next)).To(Succeed())
		head, err := owner.store.Load(ctx, "b")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(owner.store.Apply(ctx, bstore.Change{Record: &head, Results: listed, Replicas: []batch.Replica{}})).To(Succeed())
		c.g.Expect(c.useOf(ctx, data).IsNone()).To(BeTrue())
	})
}

// The disk has results of a batch that was accepted while the store was unavailable, and the store has
// no record of it: its acceptor was lost before. It is needed until another instance has acquired the
// model, which stores what was accepted, and not after that if there is no such batch.
func TestUseOfDiskByABatchWithoutRecord(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		lost, other, data := c.entries[0], c.entries[1], c.data[0]
		in := bstore.Intake{Model: model, Holder: lost.self, Epoch: 1}
		c.g.Expect(lost.store.SaveIntake(ctx, bstore.Intake{Model: model}, &in)).To(Succeed())
		c.g.Expect(lost.replicas.Append(ctx, "b", acceptedEpoch, lost.replicas.Choose("b", nil), 0, 0, completed("i1"))).To(Succeed())
		time.Sleep(time.Second) // Append returns once two replicas have it
		c.kill(lost)
		time.Sleep(lossTime)
		c.retiring.Store(data.mesh.Self().Name, true)
		c.g.Expect(data.replicas.CloseDisk()).To(Succeed())
		use := c.useOf(ctx, data)
		c.g.Expect(use.Batches).To(Equal([]string{"b"}))
		c.g.Expect(use.Unstored).To(Equal(model))
		use, err := other.UseOfDisk(ctx, "data-9")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(use.IsNone()).To(BeFalse(), "the instance can't be asked whether it has results")
		c.g.Expect(other.joinAcquire(ctx, model)).To(Succeed())
		use = c.useOf(ctx, data)
		c.g.Expect(use.IsNone()).To(BeTrue(), "%+v", use)
		c.g.Expect(use.Gone).To(Equal([]string{"b"}))
		use, err = other.UseOfDisk(ctx, "data-9")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(use.IsNone()).To(BeTrue())
	})
}

func (c *cluster) useOf(ctx context.Context, in *instance) DiskUse {
	use, err := in.UseOfOwnDisk(ctx, in.replicas.Pending())
	c.g.Expect(err).NotTo(HaveOccurred())
	return use
}
