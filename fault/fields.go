package fault

import (
	"fmt"
	"strings"
)

// FieldsError collects all invalid fields of one input, so that a user can correct
// them together. The zero value is empty and ready to use.
type FieldsError struct {
	// Fields is in the order in which the problems were found; no element is nil.
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

// Unwrap returns the individual errors, so that errors.As finds a *FieldError.
func (e *FieldsError) Unwrap() []error {
	errs := make([]error, len(e.Fields))
	for i, f := range e.Fields {
		errs[i] = f
	}
	return errs
}

// Addf adds a problem of a field.
func (e *FieldsError) Addf(field, format string, args ...any) {
	e.Fields = append(e.Fields, &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// Check adds a problem of a field unless ok is true.
func (e *FieldsError) Check(ok bool, field, problem string) {
	if !ok {
		e.Addf(field, "%s", problem)
	}
}

// Merge adds the fields of err with their paths prefixed with path. An error without
// fields is added as a problem of path itself; nil adds nothing.
func (e *FieldsError) Merge(path string, err error) {
	switch err := err.(type) { //nolint:errorlint // Only errors made for this, unwrapped, are taken apart.
	case nil:
	case *FieldsError:
		for _, f := range err.Fields {
			e.Addf(joinPath(path, f.Field), "%s", f.Problem)
		}
	case *FieldError:
		e.Addf(joinPath(path, err.Field), "%s", err.Problem)
	default:
		e.Addf(path, "%s", err.Error())
	}
}

// Err returns e, or nil if it has no fields.
func (e *FieldsError) Err() error {
	if len(e.Fields) == 0 {
		return nil
	}
	return e
}

func joinPath(path, field string) string {
	switch {
	case path == "":
		return field
	case field == "" || strings.HasPrefix(field, "["):
		return path + field
	}
	return path + "." + field
}
