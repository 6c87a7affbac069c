// Package ecfg holds the settings of an entry instance.
package ecfg

import (
	"time"

	"github.com/lavendermux/lavendermux/bytesz"
	"github.com/lavendermux/lavendermux/certs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/netad"
	"github.com/lavendermux/lavendermux/span"
	"github.com/lavendermux/lavendermux/strict"
)

const (
	defaultKeyValueTimeout = span.Duration(2 * time.Second)
	defaultLiveTimeout     = span.Duration(30 * time.Second)
	defaultStopWithin      = span.Duration(30 * time.Second)
	defaultReadyGrace      = span.Duration(3 * time.Second)
	defaultMaxBody         = bytesz.MB
	defaultDataLimit       = bytesz.GB
)

// Settings are what one entry instance is told at its start.
type Settings struct {
	// Instance is unique, also over time; not empty.
	Instance string `json:"instance"`
	// DataCentre is where the instance stands; not empty.
	DataCentre string `json:"dataCentre"`
	// Region is the set of data centres that DataCentre belongs to; not empty.
	Region string `json:"region"`
	// Listen is the IP number and port for callers, trainers and operators.
	Listen string `json:"listen"`
	// PeerListen is the IP number and port for the system's own processes;
	// another than Listen.
	PeerListen string `json:"peerListen"`
	// KeyValue is the URL of the platform's key-value service.
	KeyValue string `json:"keyValue"`
	// InstanceList is the URL of the platform's instance list.
	InstanceList string `json:"instanceList"`
	// WeightStore is the URL of the platform's weight store.
	WeightStore string `json:"weightStore"`
	// DataFolder is where bulk is kept. The default is empty: the instance has
	// no disk and keeps nothing.
	DataFolder string `json:"dataFolder,omitempty"`
	// DataLimit bounds what the data folder holds. The default is 1GB.
	DataLimit bytesz.Size `json:"dataLimit"`
	// KeyValueTimeout bounds one call to the key-value service. The default is
	// 2s.
	KeyValueTimeout span.Duration `json:"keyValueTimeout"`
	// LiveTimeout is the deadline of a live request that names none. The
	// default is 30s.
	LiveTimeout span.Duration `json:"liveTimeout"`
	// StopWithin is how long a planned stop waits for requests in flight. The
	// default is 30s.
	StopWithin span.Duration `json:"stopWithin"`
	// ReadyGrace is how long a planned stop goes on taking requests after it
	// has begun to report "not ready", so that the balancer has seen it. The
	// default is 3s.
	ReadyGrace span.Duration `json:"readyGrace"`
	// MaxBody bounds one request's body. The default is 1MB.
	MaxBody bytesz.Size `json:"maxBody"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `json:"logLevel"`
	// LogFormat is logfmt, json or text. The default is logfmt.
	LogFormat string `json:"logFormat"`
	// TLS are the files for Listen. The default is plain text.
	TLS certs.Files `json:"tls,omitzero"`
	// PeerTLS are the files with which the system's own processes speak TLS to
	// each other; all of them or none. The default is plain text.
	PeerTLS certs.Files `json:"peerTLS,omitzero"`
	// TokenFile holds the hashed tokens of operators and callers. The default
	// is empty: everyone who reaches Listen is let in.
	TokenFile string `json:"tokenFile,omitempty"`
}

// Default returns Settings with every default set.
//
//	cfg, err := ecfg.Parse(raw)
//	if err != nil { return err }
func Default() Settings {
	return Settings{
		DataLimit:       defaultDataLimit,
		KeyValueTimeout: defaultKeyValueTimeout,
		LiveTimeout:     defaultLiveTimeout,
		StopWithin:      defaultStopWithin,
		ReadyGrace:      defaultReadyGrace,
		MaxBody:         defaultMaxBody,
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
	bad.Check(s.Instance != "", "instance", "is empty; each instance needs a name of its own")
	bad.Check(s.DataCentre != "", "dataCentre", "is empty")
	bad.Check(s.Region != "", "region", "is empty")
	bad.Merge("listen", netad.CheckListen(s.Listen))
	bad.Merge("peerListen", netad.CheckListen(s.PeerListen))
	bad.Check(s.Listen != s.PeerListen || s.Listen == "", "peerListen", "is the same as listen")
	bad.Merge("keyValue", netad.CheckURL(s.KeyValue))
	bad.Merge("instanceList", netad.CheckURL(s.InstanceList))
	bad.Merge("weightStore", netad.CheckURL(s.WeightStore))
	s.checkLimits(&bad)
	bad.Merge("logLevel", logs.CheckLevel(s.LogLevel))
	bad.Merge("logFormat", logs.CheckFormat(s.LogFormat))
	bad.Merge("tls", s.TLS.Validate())
	bad.Merge("peerTLS", s.PeerTLS.Validate())
	bad.Check(s.PeerTLS == (certs.Files{}) || s.PeerTLS.Complete(), "peerTLS",
		"names only some of certificate, key and authority; processes show each other a certificate")
	return bad.Err()
}

func (s Settings) checkLimits(bad *fault.FieldsError) {
	bad.Check(s.DataLimit > 0, "dataLimit", "is not above zero")
	bad.Check(s.KeyValueTimeout > 0, "keyValueTimeout", "is not above zero")
	bad.Check(s.LiveTimeout > 0, "liveTimeout", "is not above zero")
	bad.Check(s.StopWithin > 0, "stopWithin", "is not above zero")
	bad.Check(s.ReadyGrace >= 0, "readyGrace", "is negative")
	bad.Check(s.MaxBody > 0, "maxBody", "is not above zero")
}
