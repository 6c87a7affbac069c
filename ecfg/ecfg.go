// Package ecfg defines the configuration of an entry instance.
package ecfg

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
	defaultKeyValueTimeout = xtime.Duration(2 * time.Second)
	defaultLiveTimeout     = xtime.Duration(30 * time.Second)
	defaultStopWithin      = xtime.Duration(30 * time.Second)
	defaultReadyGrace      = xtime.Duration(3 * time.Second)
	defaultMaxBody         = bytesz.MB
	defaultMemory          = 128 * bytesz.MB
	minMemory              = 112 * bytesz.MB
	defaultDataLimit       = bytesz.GB
)

// Settings is the configuration of an entry instance, read at startup.
type Settings struct {
	// Instance is the instance's name, never reused; not empty.
	Instance string `json:"instance"`
	// DataCentre is the instance's data centre; not empty.
	DataCentre string `json:"dataCentre"`
	// Region is the set of data centres that DataCentre belongs to; not empty.
	Region string `json:"region"`
	// Listen is the IP address and port for callers, trainers and operators.
	Listen string `json:"listen"`
	// PeerListen is the IP address and port for the system's own processes; differs
	// from Listen.
	PeerListen string `json:"peerListen"`
	// KeyValue is the URL of the platform's metadata store.
	KeyValue string `json:"keyValue"`
	// InstanceList is the URL of the platform's instance list.
	InstanceList string `json:"instanceList"`
	// WeightStore is the URL of the platform's weight store.
	WeightStore string `json:"weightStore"`
	// DataDir is the directory for prompts and samples. The default is empty: the
	// instance has no disk and stores nothing.
	DataDir string `json:"dataFolder,omitempty"`
	// DataLimit bounds the size of the data directory. The default is 1GB.
	DataLimit bytesz.Size `json:"dataLimit"`
	// KeyValueTimeout bounds one call to the metadata store. The default is 2s.
	KeyValueTimeout xtime.Duration `json:"keyValueTimeout"`
	// LiveTimeout is the timeout of a live request that sets none. The default is
	// 30s.
	LiveTimeout xtime.Duration `json:"liveTimeout"`
	// ShutdownTimeout bounds how long a graceful shutdown waits for requests in flight.
	// The default is 30s.
	ShutdownTimeout xtime.Duration `json:"stopWithin"`
	// ReadyGrace is how long a graceful shutdown still accepts requests after
	// readiness checks start to fail, so that the load balancer notices first. The
	// default is 3s.
	ReadyGrace xtime.Duration `json:"readyGrace"`
	// MaxBody bounds the body of a request. The default is 1MB.
	MaxBody bytesz.Size `json:"maxBody"`
	// Memory is the memory of the process, which bounds what clients may occupy. The default is 128MB,
	// the minimum 112MB.
	Memory bytesz.Size `json:"memory"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `json:"logLevel"`
	// LogFormat is logfmt, json or text. The default is logfmt.
	LogFormat string `json:"logFormat"`
	// TLS are the files for Listen. The default is plain text.
	TLS certs.Files `json:"tls,omitzero"`
	// PeerTLS are the files for mutual TLS between the system's own processes; all
	// set or none. The default is plain text.
	PeerTLS certs.Files `json:"peerTLS,omitzero"`
	// TokenFile is the file with the hashed tokens of operators and callers. The
	// default is empty: requests to Listen need no authentication.
	TokenFile string `json:"tokenFile,omitempty"`
}

// Default returns Settings with default values.
//
//	cfg, err := ecfg.Parse(raw)
//	if err != nil { return err }
func Default() Settings {
	return Settings{
		DataLimit:       defaultDataLimit,
		KeyValueTimeout: defaultKeyValueTimeout,
		LiveTimeout:     defaultLiveTimeout,
		ShutdownTimeout: defaultStopWithin,
		ReadyGrace:      defaultReadyGrace,
		MaxBody:         defaultMaxBody,
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
	bad.Check(s.Instance != "", "instance", "is empty; each instance needs a unique name")
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
		"must set all of certificate, key and authority, or none; peers authenticate each other")
	return bad.Err()
}

func (s Settings) checkLimits(bad *fault.FieldsError) {
	bad.Check(s.DataLimit > 0, "dataLimit", "is not above zero")
	bad.Check(s.KeyValueTimeout > 0, "keyValueTimeout", "is not above zero")
	bad.Check(s.LiveTimeout > 0, "liveTimeout", "is not above zero")
	bad.Check(s.ShutdownTimeout > 0, "stopWithin", "is not above zero")
	bad.Check(s.ReadyGrace >= 0, "readyGrace", "is negative")
	bad.Check(s.MaxBody > 0, "maxBody", "is not above zero")
	bad.Check(s.Memory >= minMemory, "memory", "is below 112MB")
}
