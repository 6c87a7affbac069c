package stages

import (
	"bytes"
	"time"

	"github.com/go-logfmt/logfmt"
)

// line is one line of a process's log.
type line struct {
	at      time.Time
	message string
	fields  map[string]string
}

// start is the first field of a line; what stands before it was added by whoever
// collected the logs.
var start = []byte("time=")

// parse returns a line that a report is made of.
func parse(raw []byte) (line, bool) {
	i := bytes.Index(raw, start)
	if i < 0 || !isWanted(raw) {
		return line{}, false
	}
	l := line{fields: make(map[string]string)}
	d := logfmt.NewDecoder(bytes.NewReader(raw[i:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.set(string(d.Key()), string(d.Value()))
		}
	}
	return l, d.Err() == nil && !l.at.IsZero()
}

func (l *line) set(key, value string) {
	switch key {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil { // a line without a time is passed over
			l.at = at
		}
	case "msg":
		l.message = value
	default:
		l.fields[key] = value
	}
}

// took is how long what the line tells has taken; 0 if it doesn't say.
func (l *line) took() time.Duration {
	d, err := time.ParseDuration(l.fields["took"])
	if err != nil {
		return 0
	}
	return d
}
