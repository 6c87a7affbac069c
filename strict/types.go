package strict

import (
	"encoding"
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
)

const (
	bits64 = 64
	// maxEditsPerTen is the edit distance, per ten letters, up to which a name is
	// suggested.
	maxEditsPerTen = 4
	ten            = 10
)

var (
	rawType  = reflect.TypeFor[json.RawMessage]()
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// derefType strips pointers and returns nil for a type that accepts any JSON.
func derefType(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || t == rawType || t.Kind() == reflect.Interface {
		return nil
	}
	return t
}

func isTextUnmarshaler(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textType)
}

// scalar checks a string, number or boolean against the type t.
func (d *decoder) scalar(tok json.Token, t reflect.Type, path string) {
	if t == nil {
		return
	}
	if isTextUnmarshaler(t) {
		d.text(tok, t, path)
		return
	}
	ok := false
	switch tok := tok.(type) {
	case string:
		ok = t.Kind() == reflect.String
	case bool:
		ok = t.Kind() == reflect.Bool
	case json.Number:
		ok = fitsNumber(tok, t)
	}
	if !ok {
		d.problem(path, "is %s; %s belongs here", describeToken(tok), describeType(t))
	}
}

func (d *decoder) text(tok json.Token, t reflect.Type, path string) {
	s, ok := tok.(string)
	if !ok {
		d.problem(path, "is %s; a string with its unit belongs here", describeToken(tok))
		return
	}
	u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if !ok {
		return
	}
	err := u.UnmarshalText([]byte(s))
	if err == nil {
		return
	}
	var field *fault.FieldError
	if errors.As(err, &field) {
		d.problem(path, "%s", field.Problem)
		return
	}
	d.problem(path, "%v", err)
}

func fitsNumber(n json.Number, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v, err := strconv.ParseInt(n.String(), ten, bits64)
		return err == nil && !reflect.Zero(t).OverflowInt(v)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v, err := strconv.ParseUint(n.String(), ten, bits64)
		return err == nil && !reflect.Zero(t).OverflowUint(v)
	case reflect.Float32, reflect.Float64:
		v, err := n.Float64()
		return err == nil && !math.IsInf(v, 0)
	default:
		return false
	}
}

func describeToken(tok json.Token) string {
	switch tok := tok.(type) {
	case string:
		return "the string " + strconv.Quote(tok)
	case bool:
		return strconv.FormatBool(tok)
	case json.Number:
		return "the number " + tok.String()
	}
	return "something else"
}

func describeType(t reflect.Type) string {
	if isTextUnmarshaler(t) {
		return "a string with its unit"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a whole number"
	}
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" && f.IsExported() {
			fields[name] = f.Type
		}
	}
	return fields
}

// suggestion returns the end of an error message: the field name closest to key,
// or all names if none is close.
func suggestion(key string, fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	best, minDistance := "", math.MaxInt
	for _, name := range names {
		if n := editDistance(strings.ToLower(key), strings.ToLower(name)); n < minDistance {
			best, minDistance = name, n
		}
	}
	if best != "" && minDistance*ten <= max(len(key), len(best))*maxEditsPerTen {
		return "; did you mean " + strconv.Quote(best) + "?"
	}
	return "; there are " + strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance of a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
