package walog

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/seal"
)

// The faults of a memDisk. After a failed operation the process goes on; a killed one has
// neither this operation nor later ones, except for the first half of a write.
const (
	failed = iota
	killed
	powerLost
)

var errDisk = errors.New("fault of the disk")

type (
	// memDisk is a file system in memory that knows what survives a loss of power. Its
	// operations are counted, and those in faults have a fault.
	memDisk struct {
		// names are the files and folders as the processes see them, and synced what a loss of
		// power leaves of them. A folder is a nil file.
		names, synced map[string]*memFile
		count         int
		faults        map[int]int
		isDead        bool
	}

	// memFile is a file. A sync writes its dirty bytes to synced; one that fails only makes
	// them clean, as it does on Linux.
	memFile struct {
		disk         *memDisk
		data, synced []byte
		dirty        []bool
	}

	memHandle struct {
		*memFile
		offset int
	}
)

// operation counts an operation and returns its fault, if any.
func (d *memDisk) operation() error {
	if d.isDead {
		return errDisk
	}
	d.count++
	fault, ok := d.faults[d.count]
	if !ok {
		return nil
	}
	d.isDead = fault != failed
	return errDisk
}

// losePower leaves what was synced, and of the rest what the loss keeps.
func (d *memDisk) losePower(keepsNames, keepsData bool) {
	if !keepsNames {
		d.names = maps.Clone(d.synced)
	}
	for name := range d.names { // a folder that is lost takes all below it along
		for p := filepath.Dir(name); p != "/"; p = filepath.Dir(p) {
			if _, ok := d.names[p]; !ok {
				delete(d.names, name)
			}
		}
	}
	d.synced = maps.Clone(d.names)
	for _, f := range d.names {
		if f == nil {
			continue
		}
		if !keepsData {
			f.data = f.synced
		}
		f.data, f.synced = slices.Clone(f.data), slices.Clone(f.data)
		f.dirty = make([]bool, len(f.data))
	}
}

func (d *memDisk) MkdirAll(path string) error {
	for p := path; p != "/"; p = filepath.Dir(p) {
		if _, ok := d.names[p]; ok {
			continue
		}
		if err := d.operation(); err != nil {
			return err
		}
		d.names[p] = nil
	}
	return nil
}

func (d *memDisk) ReadDir(path string) (names []string, err error) {
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

func (d *memDisk) OpenFile(name string, flag int) (file, error) {
	f, ok := d.names[name]
	if !ok && flag&os.O_CREATE == 0 {
		return nil, os.ErrNotExist
	}
	if !ok || flag&os.O_TRUNC != 0 {
		if err := d.operation(); err != nil {
			return nil, err
		}
	}
	if !ok {
		f = &memFile{disk: d}
		d.names[name] = f
	}
	if flag&os.O_TRUNC != 0 {
		f.resize(0)
	}
	return &memHandle{memFile: f}, nil
}

func (d *memDisk) Rename(from, to string) error {
	if err := d.operation(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *memDisk) Remove(name string) error {
	if err := d.operation(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *memDisk) SyncDir(path string) error {
	if err := d.operation(); err != nil {
		return err
	}
	maps.DeleteFunc(d.synced, func(name string, _ *memFile) bool { return filepath.Dir(name) == path && name != "/" })
	for name, f := range d.names {
		if filepath.Dir(name) == path {
			d.synced[name] = f
		}
	}
	return nil
}

func (f *memFile) resize(n int) {
	f.data = append(f.data[:min(n, len(f.data))], make([]byte, max(0, n-len(f.data)))...)
	f.dirty = append(f.dirty[:min(n, len(f.dirty))], make([]bool, max(0, n-len(f.dirty)))...)
}

func (f *memHandle) Read(p []byte) (int, error) {
	n := copy(p, f.data[f.offset:])
	if f.offset += n; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, offset int64) (int, error) {
	wasDead := f.disk.isDead
	err := f.disk.operation()
	if wasDead {
		return 0, err
	}
	if err != nil {
		p = p[:len(p)/2]
	}
	f.resize(max(len(f.data), int(offset)+len(p)))
	copy(f.data[offset:], p)
	for i := range p {
		f.dirty[int(offset)+i] = true
	}
	return len(p), err
}

func (f *memFile) Truncate(size int64) error {
	if err := f.disk.operation(); err != nil {
		return err
	}
	f.resize(int(size))
	return nil
}

func (f *memFile) Sync() error {
	err := f.disk.operation()
	if f.disk.isDead {
		return err
	}
	if err == nil {
		f.synced = append(f.synced[:min(len(f.synced), len(f.data))], make([]byte, max(0, len(f.data)-len(f.synced)))...)
	}
	for i, isDirty := range f.dirty {
		if isDirty && err == nil {
			f.synced[i] = f.data[i]
		}
	}
	clear(f.dirty)
	return err
}

func (f *memFile) Close() error { return nil }

func withFiles(disk *memDisk) Option { return func(d *Dir) { d.files = disk } }

// scenario is the requests to one disk, in order. Each is repeated until it is acknowledged, but
// for a drop, which an owner sends once.
var scenario = []struct {
	epoch        int64
	from, stored int
	results      []batch.Result
	isDrop       bool
}{
	{epoch: 1, results: results("a")},
	{epoch: 1, from: 1, results: results("b")},
	{epoch: 1, stored: 2, isDrop: true},
	{epoch: 1, from: 2, stored: 2, results: results("c")},
	{epoch: 1, from: 3, stored: 2, results: results("d")},
	{epoch: 2}, // a seal
}

// play makes the requests of the scenario, from acknowledged on, until the disk is dead, and
// returns how many have been acknowledged by then, and the disk's ID if any has.
func play(disk *memDisk, acknowledged int, id string) (int, string) {
	const maxRetries = 3
	d, err := Open("/data/copies", withFiles(disk))
	for retries := 0; err == nil && acknowledged < len(scenario) && !disk.isDead && retries < maxRetries; {
		q := scenario[acknowledged]
		var failure error
		switch {
		case q.isDrop:
			failure = d.Drop("b", q.epoch, q.stored)
		case q.results == nil:
			_, _, failure = d.Seal("b", q.epoch, 0)
		default:
			failure = d.Append("b", q.epoch, q.from, q.stored, q.results)
		}
		if disk.isDead {
			break
		}
		if failure != nil && !q.isDrop {
			retries++
			continue
		}
		acknowledged++
		id = d.Disk()
	}
	return acknowledged, id
}

// lost describes what a disk has lost of what it acknowledged; "" if nothing.
func lost(disk *memDisk, acknowledged int, id string) string {
	d, err := Open("/data/copies", withFiles(disk))
	if err != nil {
		return "the disk can't be opened: " + err.Error()
	}
	if acknowledged == 0 {
		return ""
	}
	if d.Disk() != id {
		return "the disk has another ID"
	}
	var want []string
	stored, epoch := 0, int64(0)
	for i, q := range scenario {
		if i >= acknowledged && (i > acknowledged || !q.isDrop) {
			break // a drop may have taken effect before it is acknowledged
		}
		epoch = q.epoch
		if q.isDrop {
			want, stored = nil, q.stored
		}
		for _, res := range q.results {
			want = append(want, res.ID)
		}
	}
	var fenced *seal.FencedError
	if err := d.Append("b", epoch-1, 0, 0, results("x")); !errors.As(err, &fenced) {
		return fmt.Sprintf("epoch %d is accepted after epoch %d: %v", epoch-1, epoch, err)
	}
	got, _, err := d.Seal("b", 3, stored)
	if err != nil {
		return err.Error()
	}
	for i, name := range want {
		if i >= len(got) || got[i].ID != name {
			return fmt.Sprintf("of results %v from position %d on, %d are there", want, stored, len(got))
		}
	}
	return ""
}

// plan is the faults of one play: at up to two operations, and then the loss of power.
type plan struct {
	first, second, power    int
	firstFault, secondFault int
	keepsNames, keepsData   bool
}

// run makes a play and returns what the disk has lost; "" if nothing.
func (p plan) run() string {
	faults := map[int]int{p.power: powerLost}
	if p.second > 0 {
		faults[p.second] = p.secondFault
	}
	if p.first > 0 {
		faults[p.first] = p.firstFault
	}
	disk := emptyDisk(faults)
	n, id := play(disk, 0, "")
	for disk.isDead && disk.faults[disk.count] == killed {
		disk.isDead = false
		n, id = play(disk, n, id)
	}
	disk.isDead, disk.faults = false, nil
	disk.losePower(p.keepsNames, p.keepsData)
	return lost(disk, n, id)
}

func emptyDisk(faults map[int]int) *memDisk {
	return &memDisk{names: map[string]*memFile{"/": nil}, synced: map[string]*memFile{"/": nil}, faults: faults}
}

// A process is killed, or an operation of the disk fails, at any one or two steps; the process
// that follows, or the same one, answers the owner's repeated requests, until the power is lost
// at any later step. Whatever was acknowledged must be there then: results, epochs, and the ID
// of the disk. Left out is a sync that fails, with another process that reads the same file later:
// that one can't tell what such a sync has left unwritten. So a process whose Open fails serves
// nothing, and none is killed after a failure.
func TestAcknowledgedOutlivesLossOfPower(t *testing.T) {
	whole := emptyDisk(nil)
	if n, _ := play(whole, 0, ""); n != len(scenario) {
		t.Fatalf("%d requests are acknowledged without a fault", n)
	}
	const later = 16 // the repeated requests and the starts of processes take more operations
	problems, plays := make(map[string]int), 0
	var first []string
	for power := 1; power <= whole.count+later; power++ {
		for one := range power {
			for two := range max(1, one) {
				for mode := range 16 {
					p := plan{first: two, second: one, power: power, firstFault: mode & 1, secondFault: mode >> 1 & 1, keepsNames: mode&4 != 0, keepsData: mode&8 != 0}
					if p.first > 0 && p.firstFault == failed && p.secondFault == killed {
						continue
					}
					plays++
					problem := p.run()
					if problems[problem]++; problem != "" && problems[problem] == 1 {
						first = append(first, fmt.Sprintf("%+v: %s", p, problem))
					}
				}
			}
		}
	}
	t.Logf("%d plays of up to %d operations", plays, whole.count+later)
	delete(problems, "")
	NewWithT(t).Expect(problems).To(BeEmpty(), strings.Join(first, "\n"))
}
