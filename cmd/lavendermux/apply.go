package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/opclnt"
	"github.com/lavendermux/lavendermux/strict"
	"github.com/lavendermux/lavendermux/xtime"
)

// applyCommand creates or replaces resources from a file.
type applyCommand struct {
	File string         `short:"f" required:"" placeholder:"FILE" help:"JSON with one resource or a list of them; - for standard input."`
	Wait xtime.Duration `default:"0s" help:"How long to wait until they are in force on all instances (${default})."`
}

// Help implements kong's HelpProvider.
func (c *applyCommand) Help() string {
	return `A resource with a revision replaces exactly that revision; if another change came first, that is a conflict (exit code 4).
A resource without a revision is created, or replaces the current one. Unchanged resources are skipped.
Resources are applied in the order of their dependencies; the first failure ends the command.`
}

// Run implements kong's command.
func (c *applyCommand) Run(s *session) error {
	all, err := c.read(s)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := s.timeout()
	defer cancel()
	for _, o := range all {
		if err := c.apply(ctx, s, client, o); err != nil {
			return errors.Wrapf(err, "%s %s", o.Kind, o.Name)
		}
	}
	for _, o := range all {
		if err := s.waitInForce(client, o.Kind, o.Name, c.Wait.Std()); err != nil {
			return err
		}
	}
	return nil
}

func (c *applyCommand) apply(ctx context.Context, s *session, client *opclnt.Client, o object.Object) error {
	current, err := client.Get(ctx, o.Kind, o.Name)
	var notFound *fault.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return asNotRun(err)
	}
	if o.Revision == 0 {
		o.Revision = current.Revision
	}
	if o.Revision == current.Revision && equalJSON(o.Spec, current.Spec) {
		s.print(fmt.Sprintf("%s %s unchanged at revision %d\n", o.Kind, o.Name, current.Revision))
		return nil
	}
	accepted, err := client.Put(ctx, o)
	if err != nil {
		return err
	}
	verb := "replaced"
	if o.Revision == 0 {
		verb = "created"
	}
	s.print(fmt.Sprintf("%s %s %s at revision %d\n", o.Kind, o.Name, verb, accepted.Revision))
	return nil
}

// read returns the resources of the file in the order of their dependencies.
func (c *applyCommand) read(s *session) ([]object.Object, error) {
	raw, err := s.readFile(c.File)
	if err != nil {
		return nil, err
	}
	var all []object.Object
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		err = strict.Decode(raw, &all)
	} else {
		all = make([]object.Object, 1)
		err = strict.Decode(raw, &all[0])
	}
	if err != nil {
		return nil, err
	}
	var bad fault.FieldsError
	for i, o := range all {
		bad.Merge(fmt.Sprintf("[%d]", i), o.Validate())
	}
	slices.SortStableFunc(all, func(a, b object.Object) int {
		return cmp.Compare(slices.Index(object.Kinds, a.Kind), slices.Index(object.Kinds, b.Kind))
	})
	return all, bad.Err()
}

func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(s.in)
		return raw, errors.Wrap(err, "reading standard input")
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, &fault.FieldError{Field: "file", Problem: err.Error()}
	}
	return raw, nil
}

// asNotRun turns an unavailable entry into a *fault.NotRunError. It is for errors before
// the first change was sent.
func asNotRun(err error) error {
	var unavailable *fault.UnavailableError
	if !errors.As(err, &unavailable) {
		return err
	}
	return &fault.NotRunError{Cause: "entryDown", Reason: "nothing was sent: " + err.Error()}
}

func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
