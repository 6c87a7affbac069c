// Package stream reads a series of events. An event counts only once its blank line
// is there, since an endpoint may stop in the middle of one.
package stream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// lineBytes bounds a line, so that an endpoint that sends no line feed
	// cannot fill the memory.
	lineBytes = 1 << 20
	// buffer is the bytes read at once; an event has some hundred.
	buffer = 4 << 10
)

var (
	idField      = []byte("id:")
	dataField    = []byte("data:")
	errTruncated = errors.New("the stream ended inside an event")
	errLong      = errors.New("a line of the stream is too long")
)

type (
	// Reader reads events; see New.
	Reader struct {
		br      *bufio.Reader
		version []byte
	}

	// Event is one whole event.
	Event struct {
		// ID grows with each event of a stream.
		ID   int64
		Data string
		// Version is the weight version from this event on; 0 is unchanged.
		Version int64
		// Raw is the event as it came, with its blank line.
		Raw []byte
	}
)

// New returns a reader of r. A line that begins with version and a colon names
// the weight version from its event on.
//
//	events := stream.New(resp.Body, "weight-versions")
//	ev, err := events.Next()
func New(r io.Reader, version string) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, buffer), version: []byte(version + ":")}
}

// Next returns the next event, or io.EOF after the last one. Any other error
// means that the stream is not whole.
func (r *Reader) Next() (Event, error) {
	var ev Event
	ev.ID = -1
	data := false
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (len(ev.Raw) > 0 || len(line) > 0) {
				return Event{}, errTruncated
			}
			return Event{}, err
		}
		ev.Raw = append(ev.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case len(text) == 0:
			if data {
				return ev, nil
			}
			ev = Event{ID: -1}
		case bytes.HasPrefix(text, idField):
			ev.ID = number(text[len(idField):])
		case bytes.HasPrefix(text, dataField):
			ev.addData(bytes.TrimPrefix(text[len(dataField):], []byte(" ")), data)
			data = true
		case bytes.HasPrefix(text, r.version):
			ev.Version = number(text[len(r.version):])
		}
	}
}

func (r *Reader) line() ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > lineBytes {
			return nil, errLong
		}
		line, err = r.br.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

func (e *Event) addData(text []byte, more bool) {
	if more {
		e.Data += "\n"
	}
	e.Data += string(text)
}

func number(text []byte) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
