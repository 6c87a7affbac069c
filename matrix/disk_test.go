package matrix

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// The holder is killed in the middle of a step, and two entries have disks. What
// it had taken in and finished is on them, so the trainer need not submit
// anything again; without the copies it would have to, and finished samples would
// be made anew.
func TestHolderKilledWithDisks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, size{entries: 3, engines: 3, disks: 3})
		defer w.close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			time.Sleep(3 * time.Second)
			w.kill(w.holder())
		}()
		sum, err := w.trainer(3).Run(ctx)
		<-killed
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sum.Samples).To(BeEquivalentTo(3 * 16))
		g.Expect(sum.Resubmitted).To(BeZero())
	})
}
