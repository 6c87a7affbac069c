// Package setup holds what a process learns about its place when it starts.
package setup

import "time"

// Setup is the settings of one process.
type Setup struct {
	// Instance is the name of the machine; not empty.
	Instance   string
	Host       string
	DataCentre string
	// PeerAddr is where this process listens to its own kind; PeerPort is the
	// same on all machines of a deployment.
	PeerAddr string
	PeerPort int
	// Metrics is the address of the counters and histograms.
	Metrics string
	// Front and Ready are empty where no callers are served.
	Front string
	Ready string
	// Endpoint and Service are set beside a model engine only.
	Endpoint string
	Service  string
	// Store is the address of the metadata store; ValueBytes bounds a value.
	Store      string
	ValueBytes int
	// Memory is the bytes that the process may use; 0 is unknown.
	Memory int64
	// Power is the share of a processor that the process has; 0 is unknown.
	Power     float64
	Heartbeat time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Retention is how long results are kept after a batch was submitted.
	Retention time.Duration
	// Drain is how soon a leaving endpoint must get no more work.
	Drain time.Duration
}
