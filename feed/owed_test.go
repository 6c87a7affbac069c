package feed

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a sample that lies for long beside free engines, since many attempts failed in a
// burst of crashes that is over.
func TestSampleIsOfferedSoonAfterFailures(t *testing.T) {
	const maxWait = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := open(t, &fakeStore{}, 7, true)
		submit(g, t, f)
		failedAt := make(map[string]time.Time)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, a := range f.StartAttempts(3, time.Now()) {
				if at, ok := failedAt[a.SampleID]; ok {
					g.Expect(time.Since(at)).To(BeNumerically("<", maxWait))
				}
				failedAt[a.SampleID] = time.Now()
				f.ReportFailure(a.ID, 0, false)
			}
		}
		g.Expect(failedAt).To(HaveLen(3))
	})
}
