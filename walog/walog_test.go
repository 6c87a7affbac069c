package walog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/seal"
)

func results(ids ...string) (out []batch.Result) {
	for _, id := range ids {
		out = append(out, batch.Result{ID: id, State: batch.Completed, Text: "text of " + id})
	}
	return out
}

func openDir(g *WithT, path string, opts ...Option) *Dir {
	d, err := Open(path, opts...)
	g.Expect(err).NotTo(HaveOccurred())
	return d
}

// A machine loses power after it has acknowledged results, and restarts with the same
// disk. All acknowledged results and their epochs must be there.
func TestOutlivesARestart(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	d := openDir(g, path)
	g.Expect(d.Append("b/1", 1, 4, 4, results("a", "b"))).To(Succeed())
	g.Expect(d.Append("b/1", 1, 6, 4, results("c"))).To(Succeed())
	_, _, err := d.Seal("b/1", 2, 4)
	g.Expect(err).NotTo(HaveOccurred())
	again := openDir(g, path)
	g.Expect(again.Disk()).To(Equal(d.Disk()))
	g.Expect(again.Pending()).To(HaveLen(1))
	var fenced *seal.FencedError
	g.Expect(errors.As(again.Append("b/1", 1, 7, 4, results("d")), &fenced)).To(BeTrue())
	got, _, err := again.Seal("b/1", 2, 5)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(results("b", "c")))
}

// Loss of power tears the record being written, at any byte. Records acknowledged before
// must be read, and records appended after the restart must be found again.
func TestTornRecord(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	d := openDir(g, path)
	g.Expect(d.Append("b", 1, 0, 0, results("a"))).To(Succeed())
	name := filepath.Join(path, "b.log")
	first, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Append("b", 1, 1, 0, results("b"))).To(Succeed())
	both, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	for n := len(first); n < len(both); n++ {
		g.Expect(os.WriteFile(name, both[:n], fileMode)).To(Succeed())
		d := openDir(g, path)
		g.Expect(d.Append("b", 1, 1, 0, results("c"))).To(Succeed())
		got, _, err := openDir(g, path).Seal("b", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(results("a", "c")), "cut at %d", n)
	}
}

// A disk returns other bytes than were written. The record must be recognized as corrupt,
// so that it isn't listed to a trainer.
func TestRottenRecord(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	g.Expect(openDir(g, path).Append("b", 1, 0, 0, results("a"))).To(Succeed())
	name := filepath.Join(path, "b.log")
	data, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	data[len(data)-3] ^= 1
	g.Expect(os.WriteFile(name, data, fileMode)).To(Succeed())
	got, _, err := openDir(g, path).Seal("b", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(BeEmpty())
}

// An operator checks the disk of a stopped instance. The table shows which batches have
// results there and which logs are torn; checking changes nothing.
func TestCheck(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	_, _, err := Check(path)
	g.Expect(err).To(MatchError(ContainSubstring("no folder of copies")))
	d := openDir(g, path)
	g.Expect(d.Append("b/1", 3, 4, 4, results("a", "b"))).To(Succeed())
	g.Expect(d.Append("b2", 1, 0, 0, results("a"))).To(Succeed())
	name := filepath.Join(path, "b2.log")
	data, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(name, data[:len(data)-5], fileMode)).To(Succeed())
	for range 2 {
		table, torn, err := Check(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(torn).To(Equal(1))
		goldie.New(t).Assert(t, "check", []byte(table.Text()))
	}
}

// A disk is replaced by an empty one. It must not pass for the old one, whose acknowledged
// results are lost.
func TestAnotherDisk(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	before := openDir(g, path).Disk()
	g.Expect(os.RemoveAll(path)).To(Succeed())
	g.Expect(openDir(g, path).Disk()).NotTo(Equal(before))
}

// The store has all results of a step, and its replica is dropped. The space must be freed,
// but an earlier owner must still be refused, even after a restart.
func TestDropKeepsTheEpoch(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	d := openDir(g, path)
	g.Expect(d.Append("b", 2, 0, 0, results("a", "b", "c"))).To(Succeed())
	before := d.bytes
	g.Expect(d.Drop("b", 1, 3)).NotTo(Succeed())
	g.Expect(d.Drop("b", 2, 2)).To(Succeed())
	g.Expect(d.Pending()).To(HaveLen(1), "a drop that is late must not delete what was appended since")
	g.Expect(d.Drop("b", 2, 3)).To(Succeed())
	g.Expect(d.Pending()).To(BeEmpty())
	g.Expect(d.bytes).To(BeNumerically("<", before/3))
	for _, d := range []*Dir{d, openDir(g, path)} {
		var fenced *seal.FencedError
		g.Expect(errors.As(d.Append("b", 1, 0, 0, results("x")), &fenced)).To(BeTrue())
	}
	g.Expect(d.Append("b", 2, 3, 3, results("d"))).To(Succeed())
	got, _, err := openDir(g, path).Seal("b", 2, 3)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(results("d")))
}

// During a long outage the logs reach their maximum size. Further appends must fail with a
// FullError, and earlier results must stay.
func TestFull(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	d := openDir(g, path, WithMaxBytes(1000))
	var full *FullError
	n := 0
	for ; n < 100; n++ {
		if err := d.Append("b", 1, n, 0, results(fmt.Sprint(n))); errors.As(err, &full) {
			break
		}
	}
	g.Expect(n).To(And(BeNumerically(">", 3), BeNumerically("<", 20)))
	for epoch := range int64(40) {
		_, _, err := d.Seal("b", epoch+2, 0)
		g.Expect(err).NotTo(HaveOccurred(), "a successor must be able to seal")
	}
	got, _, err := openDir(g, path).Seal("b", 41, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(n))
}

// An acceptor is frozen for longer than unused logs are kept, while its log isn't used. Its
// appends must still be refused once it wakes, while logs of batches must not stay for good.
func TestReservedLogsDoNotExpire(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	d := openDir(g, path)
	for _, id := range []string{"b", ReservedPrefix + "b"} {
		_, _, err := d.Seal(id, 2, 0)
		g.Expect(err).NotTo(HaveOccurred())
		d.logs[id].lastUsed = time.Now().Add(-2 * logTTL)
	}
	g.Expect(d.Append("next", 1, 0, 0, results("a"))).To(Succeed())
	for _, d := range []*Dir{d, openDir(g, path)} {
		var fenced *seal.FencedError
		g.Expect(errors.As(d.Append(ReservedPrefix+"b", 1, 0, 0, results("x")), &fenced)).To(BeTrue())
		g.Expect(d.logs).NotTo(HaveKey("b"))
	}
}

// An operator drains the machine. It must refuse new results with a ClosedError.
func TestBeingEmptied(t *testing.T) {
	g := NewWithT(t)
	d := openDir(g, t.TempDir())
	g.Expect(d.Append("b", 1, 0, 0, results("a"))).To(Succeed())
	g.Expect(d.Close()).To(Succeed())
	var closed *ClosedError
	g.Expect(errors.As(d.Append("b", 1, 1, 0, results("b")), &closed)).To(BeTrue())
	got, _, err := d.Seal("b", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(1))
}

// Whatever bytes a log has, replaying it must end and never read beyond its end.
func FuzzReplay(f *testing.F) {
	data, err := encode(record{Epoch: 1, Results: results("a")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(append(data, data[:9]...))
	f.Add([]byte{255, 255, 255, 255, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := replay(bytes.NewReader(data), func(record) {})
		if err != nil || n < 0 || n > int64(len(data)) {
			t.Errorf("read %d of %d bytes: %v", n, len(data), err)
		}
	})
}

// A disk is closed to be emptied, and its instance restarts, at once or after it was reported as
// emptied. It must refuse results from its start on: successors no longer wait for this disk.
func TestClosedDiskStaysClosed(t *testing.T) {
	g, path := NewWithT(t), t.TempDir()
	d := openDir(g, path)
	g.Expect(d.Append("b", 1, 0, 0, results("a"))).To(Succeed())
	g.Expect(d.Close()).To(Succeed())
	for _, d := range []*Dir{d, openDir(g, path)} {
		var closed *ClosedError
		g.Expect(errors.As(d.Append("b", 1, 1, 0, results("b")), &closed)).To(BeTrue())
		got, _, err := d.Seal("b", 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(results("a")))
	}
}

// The data folder's name has characters of a pattern. A restart must find the logs in it, and not
// truncate them as if they were new.
func TestFolderNamedLikeAPattern(t *testing.T) {
	g, path := NewWithT(t), filepath.Join(t.TempDir(), "rack[1]")
	g.Expect(openDir(g, path).Append("b", 1, 0, 0, results("a"))).To(Succeed())
	again := openDir(g, path)
	g.Expect(again.Append("b", 1, 1, 0, results("b"))).To(Succeed())
	got, _, err := again.Seal("b", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(results("a", "b")))
}
