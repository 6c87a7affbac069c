package lines

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Collectors prefix lines, mix the output of processes and cut lines off. A report must
// neither lose a whole line to the rest of a cut one nor make one record of two.
func TestRead(t *testing.T) {
	const whole = `time=2026-01-02T03:04:05Z level=info msg="Item run." item=i1 took=1.5s`
	log := strings.Join([]string{
		whole,
		"12.3 entry-1 | " + whole,
		`0.5 entry-1 time=2026-01-02T03:04:04Z level=info msg="Request done." outcome=answ   0.6 entry-2 ` + whole,
		`time=2026-01-02T03:04:04Z level=info msg="Item run." error="endpoint is silent, n   0.6 entry-2 ` + whole,
		`time=2026-01-02T03:04:04Z level=info msg="Item run." item=i1 error="Get \"http://desk/?time=3\": EOF" took=1.5s`,
		`time=2026-01-02T03:04:04Z level=info msg="Item run." item=i1 error="endpoint is`,
		`time=2026-01-02T03:04:04Z level=info msg=Started. item=i1`,
		`time=yesterday level=info msg="Item run." item=i1 took=1.5s`,
		"a line of another program",
		"",
	}, "\n")
	g, n := NewWithT(t), 0
	skipped, damaged, err := Read(strings.NewReader(log), []string{"Item run.", "Request "}, func(l Line) {
		n++
		g.Expect(l.Message).To(Equal("Item run."))
		g.Expect(l.Fields).To(HaveKeyWithValue("item", "i1"))
		g.Expect(l.Duration("took").Seconds()).To(Equal(1.5))
		g.Expect(l.Duration("wait")).To(BeZero())
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(5))
	g.Expect(skipped).To(Equal(2))
	g.Expect(damaged).To(Equal(4))
}
