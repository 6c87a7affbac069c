// Package strict decodes JSON that comes from people: settings and resources.
//
// The standard decoder passes over a misspelt field and takes the last of two
// equal keys, so that "queueLimits": 8 changes nothing and nobody is told. Here
// each such slip is an error that names the field by its path.
package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"unicode/utf8"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	defaultMaxBytes = 1 << 20
	// maxDepth bounds nesting; a resource has four levels.
	maxDepth = 32
	// maxProblems bounds what one answer lists.
	maxProblems = 20
)

type (
	// Option changes how Decode reads.
	Option func(*decoder)

	decoder struct {
		maxBytes int
		json     *json.Decoder
		bad      fault.FieldsError
		// broken is set once the text is no JSON, after which nothing can be
		// read any more.
		broken bool
	}
)

// WithMaxBytes bounds the input. The default is 1 MiB, which is what the
// key-value service holds.
func WithMaxBytes(n int) Option {
	return func(d *decoder) { d.maxBytes = n }
}

// Decode reads one JSON value into out, a pointer, and leaves the fields of out
// that the input does not name as they are. Its error is a *fault.FieldsError.
//
//	cfg := scfg.Default()
//	err := strict.Decode(raw, &cfg)
func Decode(raw []byte, out any, opts ...Option) error {
	d := &decoder{maxBytes: defaultMaxBytes}
	for _, opt := range opts {
		opt(d)
	}
	d.check(raw, reflect.TypeOf(out).Elem())
	if err := d.bad.Err(); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		d.bad.Addf("", "%v", err)
	}
	return d.bad.Err()
}

func (d *decoder) check(raw []byte, t reflect.Type) {
	if len(raw) > d.maxBytes {
		d.bad.Addf("", "is %d bytes long; at most %d are read", len(raw), d.maxBytes)
		return
	}
	// The standard decoder replaces bytes that are not UTF-8, and two different
	// names could become one.
	if !utf8.Valid(raw) {
		d.bad.Addf("", "is not UTF-8 text")
		return
	}
	d.json = json.NewDecoder(bytes.NewReader(raw))
	d.json.UseNumber()
	d.value(t, "", 0)
	if d.broken {
		return
	}
	if _, err := d.json.Token(); err != io.EOF {
		d.bad.Addf("", "goes on after its end; send one JSON value")
	}
}

// value reads one value that is to go into t; a nil t takes anything.
func (d *decoder) value(t reflect.Type, path string, depth int) {
	tok, ok := d.token(path)
	if !ok {
		return
	}
	if depth > maxDepth {
		d.fail(path, "is nested too deeply")
		return
	}
	t = target(t)
	switch tok := tok.(type) {
	case json.Delim:
		d.composite(tok, t, path, depth)
	case nil:
		d.require(t == nil, path, "is null; leave the field out for its default")
	default:
		d.scalar(tok, t, path)
	}
}

func (d *decoder) composite(open json.Delim, t reflect.Type, path string, depth int) {
	if open == '{' {
		d.object(t, path, depth)
		return
	}
	if t != nil && t.Kind() != reflect.Slice {
		d.problem(path, "is a list; %s belongs here", describe(t))
		t = nil
	}
	var elem reflect.Type
	if t != nil {
		elem = t.Elem()
	}
	for i := 0; !d.broken && d.json.More(); i++ {
		d.value(elem, fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
	d.token(path)
}

func (d *decoder) object(t reflect.Type, path string, depth int) {
	if t != nil && (t.Kind() != reflect.Struct && t.Kind() != reflect.Map || isText(t)) {
		d.problem(path, "is an object; %s belongs here", describe(t))
		t = nil
	}
	seen := make(map[string]bool)
	for !d.broken && d.json.More() {
		tok, ok := d.token(path)
		if !ok {
			return
		}
		key, _ := tok.(string)
		at := below(path, key)
		d.require(!seen[key], at, "stands twice; the second would silently replace the first")
		seen[key] = true
		d.value(d.field(t, key, at), at, depth+1)
	}
	d.token(path)
}

// field returns the type that the key's value goes into, nil for any.
func (d *decoder) field(t reflect.Type, key, path string) reflect.Type {
	if t == nil {
		return nil
	}
	if t.Kind() == reflect.Map {
		return t.Elem()
	}
	fields := fieldsOf(t)
	if found, ok := fields[key]; ok {
		return found
	}
	d.problem(path, "is no field here%s", suggestion(key, fields))
	return nil
}

func (d *decoder) token(path string) (json.Token, bool) {
	if d.broken {
		return nil, false
	}
	tok, err := d.json.Token()
	if err != nil {
		d.fail(path, fmt.Sprintf("is no JSON near byte %d: %v", d.json.InputOffset(), err))
		return nil, false
	}
	return tok, true
}

func (d *decoder) fail(path, problem string) {
	d.broken = true
	d.bad.Addf(path, "%s", problem)
}

func (d *decoder) problem(path, format string, args ...any) {
	if len(d.bad.Fields) < maxProblems {
		d.bad.Addf(path, format, args...)
	}
}

func (d *decoder) require(ok bool, path, problem string) {
	if !ok {
		d.problem(path, "%s", problem)
	}
}

func below(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
