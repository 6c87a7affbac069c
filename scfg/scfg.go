// Package scfg holds the settings of the process beside an endpoint.
package scfg

import (
	"time"

	"github.com/lavendermux/lavendermux/certs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/netad"
	"github.com/lavendermux/lavendermux/span"
	"github.com/lavendermux/lavendermux/strict"
)

const (
	// FencingChecked says that the endpoint refuses an order that carries an
	// old fencing number.
	FencingChecked = "checked"
	// FencingIgnored says that the endpoint takes every order, so that only the
	// process beside it compares the numbers.
	FencingIgnored = "ignored"

	defaultKeyValueTimeout = span.Duration(2 * time.Second)
	defaultStopWithin      = span.Duration(30 * time.Second)
	defaultSlots           = 16
	slotBound              = 1 << 16
)

// Settings are what the process beside one endpoint is told at its start.
type Settings struct {
	// Instance is the endpoint instance's name, unique also over time; not
	// empty.
	Instance string `json:"instance"`
	// Service is what the endpoint serves, as the instance list names it; not
	// empty.
	Service string `json:"service"`
	// DataCentre is where the instance stands; not empty.
	DataCentre string `json:"dataCentre"`
	// Region is the set of data centres that DataCentre belongs to; not empty.
	Region string `json:"region"`
	// Listen is the IP number and port for the system's own processes.
	Listen string `json:"listen"`
	// Engine is the URL of the model engine. Exactly one of Engine and
	// PlainService is set.
	Engine string `json:"engine,omitempty"`
	// PlainService is the URL of the plain service.
	PlainService string `json:"plainService,omitempty"`
	// Slots is how many requests run at the endpoint at a time, 1 to 65536. The
	// default is 16. A plain service's resource may lower it.
	Slots int `json:"slots"`
	// KeyValue is the URL of the platform's key-value service.
	KeyValue string `json:"keyValue"`
	// InstanceList is the URL of the platform's instance list.
	InstanceList string `json:"instanceList"`
	// Fencing is FencingChecked or FencingIgnored. The default is "ignored",
	// which is safe for both.
	Fencing string `json:"fencing"`
	// KeyValueTimeout bounds one call to the key-value service. The default is
	// 2s.
	KeyValueTimeout span.Duration `json:"keyValueTimeout"`
	// StopWithin is how long a planned stop waits for what runs. The default is
	// 30s.
	StopWithin span.Duration `json:"stopWithin"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `json:"logLevel"`
	// LogFormat is logfmt, json or text. The default is logfmt.
	LogFormat string `json:"logFormat"`
	// PeerTLS are the files with which the system's own processes speak TLS to
	// each other; all of them or none. The default is plain text.
	PeerTLS certs.Files `json:"peerTLS,omitzero"`
}

// Default returns Settings with every default set.
//
//	cfg, err := scfg.Parse(raw)
//	if err != nil { return err }
func Default() Settings {
	return Settings{
		Slots:           defaultSlots,
		Fencing:         FencingIgnored,
		KeyValueTimeout: defaultKeyValueTimeout,
		StopWithin:      defaultStopWithin,
		LogLevel:        logs.DefaultLevel,
		LogFormat:       logs.DefaultFormat,
	}
}

// Parse reads and checks settings. Its error is a *fault.FieldsError.
func Parse(raw []byte) (Settings, error) {
	s := Default()
	if err := strict.Decode(raw, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Validate()
}

// Validate returns a *fault.FieldsError that names all fields which break their
// invariant.
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
	bad.Check(s.StopWithin > 0, "stopWithin", "is not above zero")
	bad.Merge("logLevel", logs.CheckLevel(s.LogLevel))
	bad.Merge("logFormat", logs.CheckFormat(s.LogFormat))
	bad.Merge("peerTLS", s.PeerTLS.Validate())
	bad.Check(s.PeerTLS == (certs.Files{}) || s.PeerTLS.Complete(), "peerTLS",
		"names only some of certificate, key and authority; processes show each other a certificate")
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
	bad.Check(s.Slots >= 1 && s.Slots <= slotBound, "slots", "lies between 1 and 65536")
	bad.Check(s.Fencing == FencingChecked || s.Fencing == FencingIgnored, "fencing", `is "checked" or "ignored"`)
}
