package fault

import (
	"fmt"
	"strings"
)

// FieldsError says everything that is wrong with one input at once, so that a
// person mends it in one go. The zero value holds nothing and is ready.
type FieldsError struct {
	// Fields are in the order in which they were found; never nil elements.
	Fields []*FieldError
}

// Error implements error.
func (e *FieldsError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

// Unwrap returns the single errors, so that errors.As finds a *FieldError.
func (e *FieldsError) Unwrap() []error {
	errs := make([]error, len(e.Fields))
	for i, f := range e.Fields {
		errs[i] = f
	}
	return errs
}

// Addf notes that a field is wrong.
func (e *FieldsError) Addf(field, format string, args ...any) {
	e.Fields = append(e.Fields, &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// Check notes the problem unless ok holds.
func (e *FieldsError) Check(ok bool, field, problem string) {
	if !ok {
		e.Addf(field, "%s", problem)
	}
}

// Merge takes over another error's fields, with their paths below path; an
// error without fields becomes the problem of path itself.
func (e *FieldsError) Merge(path string, err error) {
	switch err := err.(type) { //nolint:errorlint // Only errors made for this, unwrapped, are taken apart.
	case nil:
	case *FieldsError:
		for _, f := range err.Fields {
			e.Addf(join(path, f.Field), "%s", f.Problem)
		}
	case *FieldError:
		e.Addf(join(path, err.Field), "%s", err.Problem)
	default:
		e.Addf(path, "%s", err.Error())
	}
}

// Err returns e, or nil when nothing is wrong.
func (e *FieldsError) Err() error {
	if len(e.Fields) == 0 {
		return nil
	}
	return e
}

func join(path, field string) string {
	switch {
	case path == "":
		return field
	case field == "" || strings.HasPrefix(field, "["):
		return path + field
	}
	return path + "." + field
}
