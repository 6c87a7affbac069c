package trace

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// expectStory compares the lines about a batch in a log with a golden file.
func expectStory(t *testing.T, id, log, golden string) {
	t.Helper()
	g := NewWithT(t)
	f, err := os.Open("testdata/" + log)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	s := New(id)
	g.Expect(s.Read(f)).To(Succeed())
	var out bytes.Buffer
	g.Expect(s.Write(&out)).To(Succeed())
	goldie.New(t).Assert(t, golden, out.Bytes())
}

// The logs of a deployment that lost the owner of a batch; the output has the lines about
// one submission.
func TestStory(t *testing.T) {
	expectStory(t, "33cb1651b71eae0d", "two.log", "story")
}

// The logs of three entries and three data instances. An owner is cut off from its peers and
// replaced, and then answers an entry that is cut off from its successor. The output must lead from
// the missing results to both owners.
func TestOutdatedOwner(t *testing.T) {
	expectStory(t, "5d0c9be1a7f24e83", "outdated.log", "outdated")
}

// Lines in which the ID is only part of another ID or of a message must not match; they
// would lead to the wrong cause.
func TestOtherIDs(t *testing.T) {
	g := NewWithT(t)
	s := New("ab12")
	g.Expect(s.Read(strings.NewReader("time=2026-01-02T03:04:05Z level=info msg=\"about ab12\" request=ab123\n" +
		"time=yesterday msg=x request=ab12\nrequest=ab12\n"))).To(Succeed())
	g.Expect(s.Len()).To(BeZero())
	g.Expect(s.Read(strings.NewReader("time=2026-01-02T03:04:05Z msg=x batches=\"[cd34 ab12]\"\n"))).To(Succeed())
	g.Expect(s.Len()).To(Equal(1))
}

// The cause of a failed attempt may be only in the lines of other attempts, which share
// the fingerprint of the request.
func TestOtherAttempts(t *testing.T) {
	g := NewWithT(t)
	log := "time=2026-01-02T03:04:05Z msg=\"Request done.\" request=a1 print=5f0c outcome=held\n" +
		"time=2026-01-02T03:04:04Z msg=\"Endpoint broke off.\" request=a0 print=5f0c outcome=ended\n" +
		"time=2026-01-02T03:04:04Z msg=\"Request done.\" request=b0 print=77aa outcome=answered\n"
	s := New("a1")
	g.Expect(s.Read(strings.NewReader(log))).To(Succeed())
	g.Expect(s.Fingerprints()).To(Equal([]string{"5f0c"}))
	s = New("a1", s.Fingerprints()...)
	g.Expect(s.Read(strings.NewReader(log))).To(Succeed())
	g.Expect(s.Len()).To(Equal(2))
}
