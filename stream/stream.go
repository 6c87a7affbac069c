// Package stream decodes server-sent events and checks that they are events of one stream: each
// has an ID, and the IDs increase by one. An event is complete only after its blank line, since
// an endpoint may stop in the middle of an event.
package stream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/evbase"
	"github.com/lavendermux/lavendermux/upstr"
)

const (
	// maxEventBytes is the maximum number of bytes until an event is complete, with comments and
	// empty lines before it. It bounds memory and processor time if an endpoint sends no line
	// feed, or lines without an end.
	maxEventBytes = 128 << 10
	// bufferBytes is the size of the read buffer; an event has a few hundred bytes.
	bufferBytes = 4 << 10

	idField   = "id"
	dataField = "data"
)

var (
	errTruncated = errors.New("the stream ended inside an event")
	errTooLong   = errors.New("the stream has too many bytes without an event")
)

type (
	// Reader decodes the events of a stream. See New.
	Reader struct {
		br           *bufio.Reader
		versionField string
		bases        Bases
		// due is the ID of the next event; upstr.FromStart before the first event of a stream that
		// isn't resumed. base is the ID of that event until a second one has confirmed it, and
		// upstr.FromStart otherwise.
		due, base int64
		// ahead is what was read ahead, nil if nothing was.
		ahead *result
	}

	// Option configures a Reader in New.
	Option func(*Reader)

	// Bases knows the event IDs with which streams like this one begin; see package evbase.
	Bases interface {
		// Leads reports whether streams are known to begin with the ID.
		Leads(first int64) bool
		// Allows reports whether a stream with a single event may have the ID.
		Allows(first int64) bool
		// Add records that this stream began with the ID, and reports whether that is
		// acceptable.
		Add(first int64) bool
	}

	// Event is one complete and valid event.
	Event struct {
		ID   int64
		Data string
		// Version is the weight version from this event on; 0 if unchanged.
		Version int64
		// Raw holds the bytes of the event as received, including the blank line.
		Raw []byte
		// At is when the event was complete.
		At time.Time
	}

	// InvalidError reports an event that isn't valid. The events before it are.
	InvalidError struct {
		Problem string
	}

	result struct {
		ev  Event
		err error
	}

	// block is what stands between two blank lines.
	block struct {
		id, version   string
		ids, versions int
		data          []byte // nil until there is a line of data
		hasCR         bool
		raw           []byte
	}

	// anyBase is used if nothing is known of other streams.
	anyBase struct{}
)

// Error names the problem.
func (e *InvalidError) Error() string { return "invalid event: " + e.Problem }

func (anyBase) Leads(first int64) bool { return evbase.IsUsual(first) }

func (anyBase) Allows(first int64) bool { return evbase.IsUsual(first) }

func (anyBase) Add(first int64) bool { return evbase.IsUsual(first) }

// New returns a Reader that reads from r. The field named versionField sets the weight
// version from its event on.
//
//	events := stream.New(resp.Body, "weight-versions", stream.After(lastEventID))
//	ev, err := events.Next()
func New(r io.Reader, versionField string, opts ...Option) *Reader {
	out := &Reader{br: bufio.NewReaderSize(r, bufferBytes), versionField: versionField, bases: anyBase{}, due: upstr.FromStart, base: upstr.FromStart}
	for _, opt := range opts {
		opt(out)
	}
	return out
}

// After sets the ID of the event after which the stream was resumed. By default it begins at its
// start.
func After(id int64) Option {
	return func(r *Reader) {
		if id >= 0 {
			r.due = id + 1
		}
	}
}

// WithBases sets what is known of the first event of streams. By default they may begin with ID 0
// or 1.
func WithBases(b Bases) Option {
	return func(r *Reader) { r.bases = b }
}

// Next returns the next event, or io.EOF after the last one. Any other error means that
// the stream is incomplete, and *InvalidError that it isn't one. If it isn't known with which ID
// streams begin, the first event is returned once the second has arrived.
func (r *Reader) Next() (Event, error) {
	if r.ahead != nil {
		next := *r.ahead
		r.ahead = nil
		return next.ev, next.err
	}
	isFirst := r.due == upstr.FromStart
	ev, err := r.read()
	switch {
	case err != nil:
	case isFirst && !r.bases.Leads(ev.ID):
		return r.confirm(ev)
	case !isFirst && r.base != upstr.FromStart:
		r.bases.Add(r.base)
		r.base = upstr.FromStart
	}
	return ev, err
}

// confirm returns the first event of a stream if what follows it is valid, too.
func (r *Reader) confirm(first Event) (Event, error) {
	next, err := r.read()
	r.base = upstr.FromStart
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return Event{}, err
	case err != nil && !r.bases.Allows(first.ID), err == nil && !r.bases.Add(first.ID):
		return Event{}, &InvalidError{Problem: fmt.Sprintf("streams don't begin with event %d", first.ID)}
	}
	r.ahead = &result{ev: next, err: err}
	return first, nil
}

// read returns the next event and checks that it is due.
func (r *Reader) read() (Event, error) {
	ev, err := r.decode()
	switch {
	case err != nil:
		return Event{}, err
	case r.due != upstr.FromStart && ev.ID != r.due:
		return Event{}, &InvalidError{Problem: fmt.Sprintf("event %d arrived, but event %d was due", ev.ID, r.due)}
	case r.due == upstr.FromStart:
		r.base = ev.ID
	}
	r.due = ev.ID + 1
	return ev, nil
}

// decode returns the next event, whatever its ID.
func (r *Reader) decode() (Event, error) {
	var b block
	for left := maxEventBytes; ; {
		line, err := r.line(left)
		left -= len(line)
		if err != nil {
			if errors.Is(err, io.EOF) && (len(b.raw) > 0 || len(line) > 0) {
				return Event{}, errTruncated
			}
			return Event{}, err
		}
		b.raw = append(b.raw, line...)
		text := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		switch {
		case len(text) > 0:
			b.add(text, r.versionField)
		case b.isEmpty():
			b = block{}
		default:
			return b.event()
		}
	}
}

// add adds a line.
func (b *block) add(text []byte, versionField string) {
	// A lone carriage return ends a line, too. A reader that knows it would see other events than
	// one that doesn't.
	b.hasCR = b.hasCR || bytes.IndexByte(text, '\r') >= 0
	name, value, _ := bytes.Cut(text, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case idField:
		b.id = string(value)
		b.ids++
	case versionField:
		b.version = string(value)
		b.versions++
	case dataField:
		if b.data == nil {
			b.data = []byte{}
		} else {
			b.data = append(b.data, '\n')
		}
		b.data = append(b.data, value...)
	}
}

// isEmpty reports whether the block is no event, such as one with comments only.
func (b *block) isEmpty() bool {
	return b.data == nil && b.ids == 0 && b.versions == 0 && !b.hasCR
}

func (b *block) event() (Event, error) {
	id, idErr := parseNumber(b.id)
	version, versionErr := parseNumber(b.version)
	problem := ""
	switch {
	case b.hasCR:
		problem = "it has a carriage return inside a line"
	case b.data == nil:
		problem = "it has no data"
	case b.ids == 0:
		problem = "it has no ID"
	case b.ids > 1:
		problem = "it has several IDs"
	case idErr != nil:
		problem = "ID: " + idErr.Error()
	case b.versions > 1:
		problem = "it has several versions"
	case b.versions == 1 && versionErr != nil:
		problem = "version: " + versionErr.Error()
	case b.versions == 1 && version == 0:
		problem = "version: 0 is none"
	}
	if problem != "" {
		return Event{}, &InvalidError{Problem: problem}
	}
	return Event{ID: id, Data: string(b.data), Version: version, Raw: b.raw, At: time.Now()}, nil
}

// line returns the next line, of limit bytes at most.
func (r *Reader) line(limit int) ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line = bytes.Clone(line)
	}
	for errors.Is(err, bufio.ErrBufferFull) && len(line) <= limit {
		var more []byte
		more, err = r.br.ReadSlice('\n')
		line = append(line, more...)
	}
	if len(line) > limit {
		return nil, errTooLong
	}
	return line, err
}

// parseNumber returns a number in its usual form: resumed streams are asked for by it.
func parseNumber(text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || strconv.FormatInt(n, 10) != text {
		return 0, errors.Newf("%.40q is no number", text)
	}
	return n, nil
}
