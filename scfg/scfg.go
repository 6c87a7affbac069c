// Package scfg defines the configuration of a sidecar, the process beside an
// endpoint.
package scfg

import (
	"time"

	"github.com/lavendermux/lavendermux/bytesz"
	"github.com/lavendermux/lavendermux/certs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/netad"
	"github.com/lavendermux/lavendermux/strict"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	// FencingChecked says that the endpoint rejects a command with an outdated
	// fencing token.
	FencingChecked = "checked"
	// FencingIgnored says that the endpoint accepts every command, so that only the
	// sidecar checks fencing tokens.
	FencingIgnored = "ignored"

	defaultKeyValueTimeout = xtime.Duration(2 * time.Second)
	defaultStopWithin      = xtime.Duration(30 * time.Second)
	defaultSlots           = 16
	maxSlots               = 1 << 16
	defaultMemory          = 128 * bytesz.MB
	minMemory              = 112 * bytesz.MB
)

// Settings is the configuration of the sidecar of one endpoint, read at startup.
type Settings struct {
	// Instance is the endpoint instance's name, never reused; not empty.
	Instance string `json:"instance"`
	// Service is the endpoint's service, by its name in the instance list; not
	// empty.
	Service string `json:"service"`
	// DataCentre is the instance's data centre; not empty.
	DataCentre string `json:"dataCentre"`
	// Region is the set of data centres that DataCentre belongs to; not empty.
	Region string `json:"region"`
	// Listen is the IP address and port for the system's own processes.
	Listen string `json:"listen"`
	// Engine is the URL of the model engine. Exactly one of Engine and
	// PlainService is set.
	Engine string `json:"engine,omitempty"`
	// PlainService is the URL of the plain service.
	PlainService string `json:"plainService,omitempty"`
	// Slots is the maximum number of concurrent requests at the endpoint, 1 to
	// 65536. The default is 16. The resource of a plain service may lower it.
	Slots int `json:"slots"`
	// KeyValue is the URL of the platform's metadata store.
	KeyValue string `json:"keyValue"`
	// InstanceList is the URL of the platform's instance list.
	InstanceList string `json:"instanceList"`
	// Fencing is FencingChecked or FencingIgnored. The default is "ignored", which
	// is safe for endpoints of both kinds.
	Fencing string `json:"fencing"`
	// KeyValueTimeout bounds one call to the metadata store. The default is 2s.
	KeyValueTimeout xtime.Duration `json:"keyValueTimeout"`
	// ShutdownTimeout bounds how long a graceful shutdown waits for running requests.
	// The default is 30s.
	ShutdownTimeout xtime.Duration `json:"stopWithin"`
	// Memory is the memory of the process, which bounds what clients may occupy. The default is 128MB,
	// the minimum 112MB.
	Memory bytesz.Size `json:"memory"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `json:"logLevel"`
	// LogFormat is logfmt, json or text. The default is logfmt.
	LogFormat string `json:"logFormat"`
	// PeerTLS are the files for mutual TLS between the system's own processes; all
	// set or none. The default is plain text.
	PeerTLS certs.Files `json:"peerTLS,omitzero"`
}

// Default returns Settings with default values.
//
//	cfg, err := scfg.Parse(raw)
//	if err != nil { return err }
func Default() Settings {
	return Settings{
		Slots:           defaultSlots,
		Fencing:         FencingIgnored,
		KeyValueTimeout: defaultKeyValueTimeout,
		ShutdownTimeout: defaultStopWithin,
		Memory:          defaultMemory,
		LogLevel:        logs.DefaultLevel,
		LogFormat:       logs.DefaultFormat,
	}
}

// Parse decodes and validates settings. Its error is a *fault.FieldsError.
func Parse(raw []byte) (Settings, error) {
	s := Default()
	if err := strict.Decode(raw, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Validate()
}

// Validate returns a *fault.FieldsError that lists every invalid field.
func (s Settings) Validate() error {
	var bad fault.FieldsError
	bad.Check(s.Instance != "", "instance", "is empty; write the endpoint instance's name")
	bad.Check(s.Service != "", "service", "is empty; write what the endpoint serves")
	bad.Check(s.DataCentre != "", "dataCentre", "is empty")
	bad.Check(s.Region != "", "region", "is empty")
	bad.Merge("listen", netad.CheckListen(s.Listen))
	s.checkEndpoint(&bad)
	bad.Merge("keyValue", netad.CheckURL(s.KeyValue))
	bad.Merge("instanceList", netad.CheckURL(s.InstanceList))
	bad.Check(s.KeyValueTimeout > 0, "keyValueTimeout", "is not above zero")
	bad.Check(s.ShutdownTimeout > 0, "stopWithin", "is not above zero")
	bad.Check(s.Memory >= minMemory, "memory", "is below 112MB")
	bad.Merge("logLevel", logs.CheckLevel(s.LogLevel))
	bad.Merge("logFormat", logs.CheckFormat(s.LogFormat))
	bad.Merge("peerTLS", s.PeerTLS.Validate())
	bad.Check(s.PeerTLS == (certs.Files{}) || s.PeerTLS.Complete(), "peerTLS",
		"must set all of certificate, key and authority, or none; peers authenticate each other")
	return bad.Err()
}

func (s Settings) checkEndpoint(bad *fault.FieldsError) {
	bad.Check((s.Engine == "") != (s.PlainService == ""), "engine", "exactly one of engine and plainService must be set")
	if s.Engine != "" {
		bad.Merge("engine", netad.CheckURL(s.Engine))
	}
	if s.PlainService != "" {
		bad.Merge("plainService", netad.CheckURL(s.PlainService))
	}
	bad.Check(s.Slots >= 1 && s.Slots <= maxSlots, "slots", "lies between 1 and 65536")
	bad.Check(s.Fencing == FencingChecked || s.Fencing == FencingIgnored, "fencing", `must be "checked" or "ignored"`)
}
