// Package strict decodes hand-written JSON, such as settings and resources, and
// rejects unknown fields, duplicate keys and mismatched types.
//
// The standard decoder ignores a misspelt field and keeps the last of duplicate
// keys, so that "queueLimits": 8 silently has no effect. Here each such mistake
// is an error that gives the path of the field.
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
	// maxDepth bounds nesting; resources have four levels.
	maxDepth = 32
	// maxProblems bounds the problems reported for one input.
	maxProblems = 20
)

type (
	// Option configures Decode.
	Option func(*decoder)

	decoder struct {
		maxBytes int
		json     *json.Decoder
		bad      fault.FieldsError
		// malformed is set on a syntax error, after which decoding stops.
		malformed bool
	}
)

// WithMaxBytes bounds the input, in bytes. The default is 1 MiB, the largest
// value in the metadata store.
func WithMaxBytes(n int) Option {
	return func(d *decoder) { d.maxBytes = n }
}

// Decode decodes one JSON value into out, a pointer. Fields of out that the input
// omits keep their values. The error is a *fault.FieldsError.
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
	// The standard decoder replaces invalid UTF-8, which could make two different
	// keys equal.
	if !utf8.Valid(raw) {
		d.bad.Addf("", "is not UTF-8 text")
		return
	}
	d.json = json.NewDecoder(bytes.NewReader(raw))
	d.json.UseNumber()
	d.value(t, "", 0)
	if d.malformed {
		return
	}
	if _, err := d.json.Token(); err != io.EOF {
		d.bad.Addf("", "goes on after its end; send one JSON value")
	}
}

// value checks the next value against t; a nil t accepts anything.
func (d *decoder) value(t reflect.Type, path string, depth int) {
	tok, ok := d.token(path)
	if !ok {
		return
	}
	if depth > maxDepth {
		d.abort(path, "is nested too deeply")
		return
	}
	t = derefType(t)
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
		d.problem(path, "is a list; %s belongs here", describeType(t))
		t = nil
	}
	var elem reflect.Type
	if t != nil {
		elem = t.Elem()
	}
	for i := 0; !d.malformed && d.json.More(); i++ {
		d.value(elem, fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
	d.token(path)
}

func (d *decoder) object(t reflect.Type, path string, depth int) {
	if t != nil && (t.Kind() != reflect.Struct && t.Kind() != reflect.Map || isTextUnmarshaler(t)) {
		d.problem(path, "is an object; %s belongs here", describeType(t))
		t = nil
	}
	seen := make(map[string]bool)
	for !d.malformed && d.json.More() {
		tok, ok := d.token(path)
		if !ok {
			return
		}
		key, _ := tok.(string)
		at := joinPath(path, key)
		d.require(!seen[key], at, "stands twice; the second would silently replace the first")
		seen[key] = true
		d.value(d.field(t, key, at), at, depth+1)
	}
	d.token(path)
}

// field returns the type of the field named key, or nil if any value is accepted.
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
	if d.malformed {
		return nil, false
	}
	tok, err := d.json.Token()
	if err != nil {
		d.abort(path, fmt.Sprintf("is no JSON near byte %d: %v", d.json.InputOffset(), err))
		return nil, false
	}
	return tok, true
}

func (d *decoder) abort(path, problem string) {
	d.malformed = true
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
