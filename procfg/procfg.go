// Package procfg defines the configuration that a process gets from its platform at
// startup.
package procfg

import "time"

// Config is the configuration of one process.
type Config struct {
	// Instance is the instance's name; not empty.
	Instance   string `json:"instance"`
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	// PeerAddr is the address on which the process listens for peers; PeerPort is
	// the same on all machines of a deployment.
	PeerAddr string `json:"peerAddr"`
	PeerPort int    `json:"peerPort"`
	// MetricsAddr is the listen address of the metrics endpoint.
	MetricsAddr string `json:"metrics"`
	// FrontAddr is the listen address for callers, ReadyAddr that of readiness checks; both
	// are empty if the process serves no callers.
	FrontAddr string `json:"front"`
	ReadyAddr string `json:"ready"`
	// Endpoint and Service are set only for a sidecar of a model engine.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// StoreAddr is the address of the metadata store; MaxValueBytes bounds the size of a
	// value there.
	StoreAddr     string `json:"store"`
	MaxValueBytes int    `json:"valueBytes"`
	// MemoryBytes is the process's memory limit, in bytes; 0 means unknown.
	MemoryBytes int64 `json:"memoryBytes"`
	// Descriptors is the process's limit of open descriptors; 0 means unknown.
	Descriptors int `json:"descriptors"`
	// CPUShare is the process's CPU limit, as a fraction of a processor; 0 means unknown.
	CPUShare  float64       `json:"power"`
	Heartbeat time.Duration `json:"heartbeatNs"`
	// QueueRequests makes callers' requests wait in a queue while the endpoints of their
	// service have no capacity, in the order of priorities and shares.
	QueueRequests bool `json:"queueRequests"`
	// DataDir is the directory for replicas; "" if the machine has no disk. MaxLostDisks is the
	// number of disk failures to tolerate at once.
	DataDir      string `json:"dataDir"`
	MaxLostDisks int    `json:"lost"`
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration `json:"graceNs"`
	// Retention is how long results are stored after submission of a batch.
	Retention time.Duration `json:"retentionNs"`
	// ConfigApplyTime is the time within which an acknowledged configuration must be in force.
	ConfigApplyTime time.Duration `json:"configApplyNs"`
	// DrainTime is the time within which a draining endpoint must get no new requests.
	DrainTime time.Duration `json:"drainNs"`
	// PlatformAddr is the address of the platform's API; "" if it has none. Metering says that
	// the API expects usage reports per customer and window of UsageWindow, within
	// UsageDeadline of the window's end.
	PlatformAddr  string        `json:"cloud"`
	Metering      bool          `json:"metering"`
	UsageWindow   time.Duration `json:"usageWindowNs"`
	UsageDeadline time.Duration `json:"usageLateNs"`
	// Scaling says that the platform's API can change the number of endpoints.
	Scaling bool `json:"scaling"`
	// LeaseDuration is the minimum time until an instance can regain leadership that another
	// instance held in between.
	LeaseDuration time.Duration `json:"leaseNs"`
}
