// Package replic mirrors an owner's prompts and finished samples to two of the
// entries that have a disk, so that the loss of the owner, or of the owner and
// one disk, loses no sample.
//
// The two are chosen by rendezvous hashing of the subscription's name, so a
// successor finds them without any record of the choice.
package replic

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/grpreq"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/sample"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// replicaCount is the number of disks with each blob. With two, one can be lost with
	// its instance at any time.
	replicaCount = 2
	// writeTimeout bounds one write to one disk. A slower disk counts as lost for now.
	writeTimeout = 2 * time.Second
	// loadTimeout bounds reading a subscription from one disk.
	loadTimeout = 15 * time.Second

	groupsInfix  = "/groups/"
	samplesInfix = "/samples/"
)

type (
	// Replicator replicates the data of one owner. See New.
	Replicator struct {
		fencingToken int64
		fleet        fleet
		dial         dialer
	}

	// Option configures a Replicator in New.
	Option func(*Replicator)

	fleet interface {
		Entries() []*wire.EntryState
	}

	dialer interface {
		Peer(address string) wireconnect.PeerServiceClient
	}

	// NoReplicaError means that no entry with a disk accepted a write.
	NoReplicaError struct {
		// Tried is the number of entries tried.
		Tried int
		// Cause is the error of the last one; nil if Tried is 0.
		Cause error
	}
)

// New returns the Replicator of the owner with a fencing token.
//
//	c := replic.New(fencingToken, view, dialer)
//	err := c.KeepGroup(ctx, "drafts", group)
func New(fencingToken int64, f fleet, d dialer, opts ...Option) *Replicator {
	c := &Replicator{fencingToken: fencingToken, fleet: f, dial: d}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Error implements error.
func (e *NoReplicaError) Error() string {
	if e.Tried == 0 {
		return "no entry has a disk"
	}
	return "no disk took the copy: " + e.Cause.Error()
}

// Unwrap returns why the last disk did not accept the write.
func (e *NoReplicaError) Unwrap() error { return e.Cause }

// Targets returns the names of the instances that new data of a subscription is written
// to, joined with commas. When it changes, the owner must write all its data again.
func (c *Replicator) Targets(subscription string) string {
	var names []string
	for _, e := range c.targets(subscription) {
		names = append(names, e.GetInstance())
	}
	return strings.Join(names, ",")
}

// KeepGroup replicates a group's prompt. It returns a *NoReplicaError if no disk has it.
func (c *Replicator) KeepGroup(ctx context.Context, subscription string, g grpreq.Group) error {
	return c.write(ctx, subscription, subscription+groupsInfix+g.ID, g)
}

// KeepSample replicates a finished sample. Its errors are those of KeepGroup.
func (c *Replicator) KeepSample(ctx context.Context, subscription string, s sample.Sample) error {
	return c.write(ctx, subscription, subscription+samplesInfix+s.ID, s)
}

// DropGroup removes a group that the trainer has received completely. The reader ignores
// what remains of it on a disk that can't be reached now.
func (c *Replicator) DropGroup(ctx context.Context, subscription, group string) {
	for _, e := range c.targets(subscription) {
		for _, key := range []string{subscription + groupsInfix + group, subscription + samplesInfix + group + "/"} {
			ctx, cancel := context.WithTimeout(ctx, writeTimeout)
			_, _ = c.dial.Peer(e.GetAddress()).Keep(ctx, connect.NewRequest(&wire.KeepRequest{
				Key: key, Fence: c.fencingToken, Drop: true,
			}))
			cancel()
		}
	}
}

// Load reads a subscription's groups and samples from all disks. If some disks can't be
// read, it returns an error together with the data of the others.
func (c *Replicator) Load(ctx context.Context, subscription string) ([]grpreq.Group, []sample.Sample, error) {
	groups, samples := map[string]grpreq.Group{}, map[string]sample.Sample{}
	var errs error
	for _, e := range c.liveDisks() {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		err := c.readFrom(ctx, e, subscription+"/", func(b *wire.Blob) { addBlob(b, subscription, groups, samples) })
		cancel()
		errs = errors.CombineErrors(errs, err)
	}
	return values(groups), values(samples), errs
}

func (c *Replicator) write(ctx context.Context, subscription, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encoding a copy")
	}
	targets := c.targets(subscription)
	results := make(chan error, len(targets))
	for _, e := range targets {
		go func() { results <- c.writeTo(ctx, e, key, raw) }()
	}
	written := 0
	out := &NoReplicaError{Tried: len(targets)}
	for range targets {
		if err := <-results; err != nil {
			out.Cause = err
			continue
		}
		written++
	}
	if written == 0 {
		return out
	}
	return nil
}

func (c *Replicator) writeTo(ctx context.Context, e *wire.EntryState, key string, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	resp, err := c.dial.Peer(e.GetAddress()).Keep(ctx, connect.NewRequest(&wire.KeepRequest{
		Key: key, Value: raw, Fence: c.fencingToken,
	}))
	if err == nil && resp.Msg.GetOldFence() {
		err = &fault.FencedError{Fence: c.fencingToken}
	}
	return err
}

func (c *Replicator) readFrom(ctx context.Context, e *wire.EntryState, prefix string, each func(*wire.Blob)) error {
	after := ""
	for {
		resp, err := c.dial.Peer(e.GetAddress()).Kept(ctx, connect.NewRequest(&wire.KeptRequest{
			Prefix: prefix, AfterKey: after,
		}))
		if err != nil {
			return errors.Wrapf(err, "reading the disk of %s", e.GetInstance())
		}
		for _, b := range resp.Msg.GetBlobs() {
			each(b)
			after = b.GetKey()
		}
		if !resp.Msg.GetMore() {
			return nil
		}
	}
}

func (c *Replicator) liveDisks() []*wire.EntryState {
	var out []*wire.EntryState
	for _, e := range c.fleet.Entries() {
		if e.GetHasDisk() && !e.GetGone() && !e.GetLeaving() {
			out = append(out, e)
		}
	}
	return out
}

func (c *Replicator) targets(subscription string) []*wire.EntryState {
	return rendez.Top(subscription, c.liveDisks(), replicaCount, func(e *wire.EntryState) string { return e.GetInstance() })
}

// addBlob adds a blob to groups or samples, by its key. It ignores a blob that can't be
// decoded: its group is requested again, or its sample generated again.
func addBlob(b *wire.Blob, subscription string, groups map[string]grpreq.Group, samples map[string]sample.Sample) {
	if id, found := strings.CutPrefix(b.GetKey(), subscription+groupsInfix); found {
		var g grpreq.Group
		if json.Unmarshal(b.GetValue(), &g) == nil && g.ID == id {
			groups[id] = g
		}
		return
	}
	if id, found := strings.CutPrefix(b.GetKey(), subscription+samplesInfix); found {
		var s sample.Sample
		if json.Unmarshal(b.GetValue(), &s) == nil && s.ID == id {
			samples[id] = s
		}
	}
}

func values[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, v := range m {
		out = append(out, v)
	}
	return out
}
