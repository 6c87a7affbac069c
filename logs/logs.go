// Package logs makes the logger of a process and names the fields of its lines.
//
// A request and a sample carry an identity of their own from process to
// process; every line about one has it under FieldRequest or FieldSample, so
// that one search finds its whole way. Tokens, prompts and answers are never
// logged.
package logs

import (
	"io"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/fault"
)

const (
	// HeaderRequest is the HTTP header that carries a request's identity in and
	// out.
	HeaderRequest = "Lavendermux-Request"

	// DefaultLevel is the level of a logger that is told none.
	DefaultLevel = "info"
	// DefaultFormat is the format of a logger that is told none.
	DefaultFormat = "logfmt"

	// FieldInstance is the instance that writes the line.
	FieldInstance = "instance"
	// FieldDataCentre is where it stands.
	FieldDataCentre = "dataCentre"
	// FieldRequest is the identity of a request.
	FieldRequest = "request"
	// FieldSample is the identity of a sample: subscription, group and index.
	FieldSample = "sample"
	// FieldCaller is who asked.
	FieldCaller = "caller"
	// FieldEndpoint is the endpoint that was asked.
	FieldEndpoint = "endpoint"
	// FieldPool is the pool concerned.
	FieldPool = "pool"
	// FieldModel is the model concerned.
	FieldModel = "model"
	// FieldVersion is a weight version.
	FieldVersion = "version"
	// FieldSubscription is the subscription concerned.
	FieldSubscription = "subscription"
	// FieldKind is the kind of a resource.
	FieldKind = "kind"
	// FieldName is the name of a resource.
	FieldName = "name"
	// FieldRevision is the revision of a resource or of the configuration.
	FieldRevision = "revision"
	// FieldOperation is the identity of a change.
	FieldOperation = "operation"
	// FieldJob is the job whose lease is concerned.
	FieldJob = "job"
	// FieldFence is a fencing number.
	FieldFence = "fence"
	// FieldCause is the short word for why, the same as in answers and metrics.
	FieldCause = "cause"
	// FieldError is an error's text.
	FieldError = "error"
	// FieldTook is a duration.
	FieldTook = "took"
)

var (
	levels  = []string{"debug", "info", "warn", "error"}
	formats = map[string]log.Formatter{
		"logfmt": log.LogfmtFormatter,
		"json":   log.JSONFormatter,
		"text":   log.TextFormatter,
	}
)

// Option changes a logger as New makes it.
type Option func(*log.Options)

// New returns a logger that writes to w, with the time in UTC on each line.
//
//	logger := logs.New(os.Stderr, logs.WithLevel("debug"), logs.WithField(logs.FieldInstance, "entry-1"))
//	logger.Info("Listening.", "address", addr)
func New(w io.Writer, opts ...Option) *log.Logger {
	o := log.Options{
		Formatter:       formats[DefaultFormat],
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return log.NewWithOptions(w, o)
}

// WithLevel sets the least level that is written. The default is info, also for
// a name that CheckLevel refuses.
func WithLevel(name string) Option {
	return func(o *log.Options) {
		level, err := log.ParseLevel(name)
		if err != nil {
			level = log.InfoLevel
		}
		o.Level = level
	}
}

// WithFormat sets logfmt, json or text. The default is logfmt.
func WithFormat(name string) Option {
	return func(o *log.Options) {
		if f, ok := formats[name]; ok {
			o.Formatter = f
		}
	}
}

// WithField puts a field on every line. The default is none.
func WithField(name string, value any) Option {
	return func(o *log.Options) { o.Fields = append(o.Fields, name, value) }
}

// CheckLevel returns a *fault.FieldError for a name that is no level.
func CheckLevel(name string) error {
	if slices.Contains(levels, name) {
		return nil
	}
	return &fault.FieldError{Problem: "is debug, info, warn or error"}
}

// CheckFormat returns a *fault.FieldError for a name that is no format.
func CheckFormat(name string) error {
	if _, ok := formats[name]; ok {
		return nil
	}
	return &fault.FieldError{Problem: "is logfmt, json or text"}
}
