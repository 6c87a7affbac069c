package keymem_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/keymem"
	"github.com/lavendermux/lavendermux/wire"
)

const window = time.Minute

func TestKeymem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keymem")
}

var _ = Describe("Memory", func() {
	var (
		m    *keymem.Memory
		now  time.Time
		ever time.Time
	)

	BeforeEach(func() {
		m = keymem.New(keymem.WithMax(3))
		now = time.Unix(1000, 0)
	})

	begin := func(key string, digest uint64, first bool, since time.Time) any {
		verdict, _, _, err := m.Begin(key, digest, first, since, window, now)
		Expect(err).NotTo(HaveOccurred())
		return verdict
	}

	// A parent's request for a slot is sent again since its answer got lost. The
	// second copy must get the first one's answer; if it ran, two slots would be
	// booked.
	It("answers a second copy with the first one's answer", func() {
		Expect(begin("k", 1, false, ever)).To(Equal(keymem.Run))
		Expect(begin("k", 1, false, ever)).To(Equal(keymem.Wait))
		m.End("k", &wire.CallResponse{Status: 201})
		verdict, resp, _, err := m.Begin("k", 1, false, ever, window, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(keymem.Answer))
		Expect(resp.GetStatus()).To(BeEquivalentTo(201))
	})

	It("never runs again what has an unknown outcome", func() {
		begin("k", 1, false, ever)
		m.End("k", nil)
		Expect(begin("k", 1, false, ever)).To(Equal(keymem.Lost))
	})

	It("runs what did not run", func() {
		begin("k", 1, false, ever)
		m.Undo("k")
		Expect(begin("k", 1, false, ever)).To(Equal(keymem.Run))
	})

	// The door has just restarted, or a key has just moved to it. A copy may have
	// run before that, unless the caller says that it sends the first.
	It("tells when it cannot know", func() {
		since := now.Add(-window / 2)
		Expect(begin("k", 1, false, since)).To(Equal(keymem.Young))
		Expect(begin("k", 1, true, since)).To(Equal(keymem.Run))
		Expect(keymem.Sure(since, window, now)).To(Equal(window / 2))
		now = now.Add(window / 2)
		Expect(begin("other", 1, false, since)).To(Equal(keymem.Run))
	})

	It("refuses a key that comes back with another request", func() {
		begin("k", 1, false, ever)
		_, _, _, err := m.Begin("k", 2, false, ever, window, now)
		var reused *keymem.ReusedError
		Expect(errors.As(err, &reused)).To(BeTrue())
	})

	It("forgets after the window, but not what still runs", func() {
		begin("a", 1, false, ever)
		begin("b", 1, false, ever)
		m.End("b", &wire.CallResponse{})
		now = now.Add(2 * window)
		Expect(begin("a", 1, false, ever)).To(Equal(keymem.Wait))
		m.End("a", &wire.CallResponse{})
		Expect(begin("a", 1, false, ever)).To(Equal(keymem.Run))
	})

	// More keys come than fit. To forget one early would let its copy run again.
	It("refuses new keys when it is full, and says until when", func() {
		for _, k := range []string{"a", "b", "c"} {
			begin(k, 1, false, ever)
			m.End(k, &wire.CallResponse{})
		}
		_, _, _, err := m.Begin("d", 1, false, ever, window, now)
		var full *keymem.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(full.RetryAfter).To(Equal(window))
		now = now.Add(window + 1)
		Expect(begin("d", 1, false, ever)).To(Equal(keymem.Run))
	})
})
