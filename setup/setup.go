// Package setup holds what a process learns about its place when it starts.
package setup

import "time"

// Setup is the settings of one process.
type Setup struct {
	// Instance is the name of the machine; not empty.
	Instance   string `json:"instance"`
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	// PeerAddr is where this process listens to its own kind; PeerPort is the
	// same on all machines of a deployment.
	PeerAddr string `json:"peerAddr"`
	PeerPort int    `json:"peerPort"`
	// Metrics is the address of the counters and histograms.
	Metrics string `json:"metrics"`
	// Front and Ready are empty where no callers are served.
	Front string `json:"front"`
	Ready string `json:"ready"`
	// Endpoint and Service are set beside a model engine only.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Store is the address of the metadata store; ValueBytes bounds a value.
	Store      string `json:"store"`
	ValueBytes int    `json:"valueBytes"`
	// Memory is the bytes that the process may use; 0 is unknown.
	Memory int64 `json:"memoryBytes"`
	// Power is the share of a processor that the process has; 0 is unknown.
	Power     float64       `json:"power"`
	Heartbeat time.Duration `json:"heartbeatNs"`
	// DataDir is the folder for copies; "" where the machine has no disk. Lost is how many
	// disks may be lost at once.
	DataDir string `json:"dataDir"`
	Lost    int    `json:"lost"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration `json:"graceNs"`
	// Retention is how long results are kept after a batch was submitted.
	Retention time.Duration `json:"retentionNs"`
	// Drain is how soon a leaving endpoint must get no more work.
	Drain time.Duration `json:"drainNs"`
	// Cloud is the address of the platform's API; "" if it has none. Metering says that
	// it wants the usage of each customer, by windows of UsageWindow, each within UsageLate
	// of its end.
	Cloud       string        `json:"cloud"`
	Metering    bool          `json:"metering"`
	UsageWindow time.Duration `json:"usageWindowNs"`
	UsageLate   time.Duration `json:"usageLateNs"`
	// Scaling says that the platform's API takes orders for the number of endpoints.
	Scaling bool `json:"scaling"`
	// Lease is the shortest time in which an instance may get a duty back that another one
	// had meanwhile.
	Lease time.Duration `json:"leaseNs"`
}
