// Package logs creates the logger of a process and defines the keys of its fields.
//
// Requests and samples have an ID that is passed from process to process. Every log line
// about one has the ID in FieldRequest or FieldSample, so that one search finds all its
// lines. Tokens, prompts and responses must never be logged.
package logs

import (
	"io"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/fault"
)

const (
	// HeaderRequest is the HTTP header with the request ID, in requests and responses.
	HeaderRequest = "Lavendermux-Request"

	// DefaultLevel is the level of a logger without WithLevel.
	DefaultLevel = "info"
	// DefaultFormat is the format of a logger without WithFormat.
	DefaultFormat = "logfmt"

	// FieldInstance is the instance that writes the line.
	FieldInstance = "instance"
	// FieldDataCentre is the data centre of that instance.
	FieldDataCentre = "dataCentre"
	// FieldRequest is the ID of a request.
	FieldRequest = "request"
	// FieldSample is the ID of a sample: subscription, group and index.
	FieldSample = "sample"
	// FieldCaller is the client that sent the request.
	FieldCaller = "caller"
	// FieldEndpoint is the endpoint that the request went to.
	FieldEndpoint = "endpoint"
	// FieldPool is the name of a pool.
	FieldPool = "pool"
	// FieldModel is the name of a model.
	FieldModel = "model"
	// FieldVersion is a weight version.
	FieldVersion = "version"
	// FieldSubscription is the name of a subscription.
	FieldSubscription = "subscription"
	// FieldKind is the kind of a resource.
	FieldKind = "kind"
	// FieldName is the name of a resource.
	FieldName = "name"
	// FieldRevision is the revision of a resource or of the configuration.
	FieldRevision = "revision"
	// FieldOperation is the operation ID of a change.
	FieldOperation = "operation"
	// FieldJob is the job that a lease is for.
	FieldJob = "job"
	// FieldFence is a fencing token.
	FieldFence = "fence"
	// FieldCause is a cause code, as in responses and metrics.
	FieldCause = "cause"
	// FieldError is the text of an error.
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

// Option configures a logger. See New.
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

// WithLevel sets the lowest level that is written. The default is info, also for a name
// that CheckLevel rejects.
func WithLevel(name string) Option {
	return func(o *log.Options) {
		level, err := log.ParseLevel(name)
		if err != nil {
			level = log.InfoLevel
		}
		o.Level = level
	}
}

// WithFormat sets the format: logfmt, json or text. The default is logfmt, also for a
// name that CheckFormat rejects.
func WithFormat(name string) Option {
	return func(o *log.Options) {
		if f, ok := formats[name]; ok {
			o.Formatter = f
		}
	}
}

// WithField adds a field to every line. The default is none.
func WithField(name string, value any) Option {
	return func(o *log.Options) { o.Fields = append(o.Fields, name, value) }
}

// CheckLevel returns a *fault.FieldError if name is not a level.
func CheckLevel(name string) error {
	if slices.Contains(levels, name) {
		return nil
	}
	return &fault.FieldError{Problem: "is debug, info, warn or error"}
}

// CheckFormat returns a *fault.FieldError if name is not a format.
func CheckFormat(name string) error {
	if _, ok := formats[name]; ok {
		return nil
	}
	return &fault.FieldError{Problem: "is logfmt, json or text"}
}
