// Package caps divides the memory and the descriptors of a process among what its clients and its
// endpoints can make it keep.
package caps

import "syscall"

const (
	// DefaultMemory is the memory of a process whose settings name none, in bytes.
	DefaultMemory = 128 << 20

	// programBytes is the memory of a process that serves nobody: program, runtime, configuration.
	programBytes = 40 << 20
	// connectionBytes is the memory of a connection without a request: buffers and a goroutine.
	connectionBytes = 10 << 10
	// reservedDescriptors are for files.
	reservedDescriptors = 200

	// The shares of the memory. With the program they are less than all of it; what remains is for
	// garbage between collections.
	payloadShare    = 0.50
	bodyShare       = 0.30
	answerShare     = 0.10
	textShare       = 0.10
	batchShare      = 0.25
	requestShare    = 0.05
	connectionShare = 0.07

	// outgoingShare is the share of the descriptors for connections to peers and endpoints.
	outgoingShare = 0.35
	// callerShare is the share of the connections and requests at the callers' address, if there is
	// one, and adminShare that at each address of checks and metrics. The rest is for peers.
	callerShare = 0.55
	adminShare  = 0.05
	// minAdminConnections is the least number of connections at an address of checks or metrics.
	minAdminConnections = 8
)

// MinMemory is the memory from which on all limits together fit in, in bytes.
const MinMemory = 106 << 20

// Limits is what each kind of client may occupy in one process. Sizes are in bytes.
type Limits struct {
	// Payload is for these together: Bodies for bodies of requests beyond their first 16 KiB, Answers for
	// answers of endpoints that are being read, and once more while they are written, Texts for partial texts of batches, Batches for their
	// items. A large batch takes what the others don't use at the moment.
	Payload, Bodies, Answers, Texts, Batches int64
	// CallerRequests, PeerRequests and AdminRequests are for heads and the first 16 KiB of bodies at the
	// callers' address, at that of peers, and at those of checks and metrics together.
	CallerRequests, PeerRequests, AdminRequests int64
	// CallerConnections, PeerConnections and AdminConnections are the numbers of connections at these
	// addresses, the last at each of two.
	CallerConnections, PeerConnections, AdminConnections int
}

// Of returns the limits of a process with the given memory, in bytes, and descriptors. Of a process whose
// memory isn't known, 0, it is DefaultMemory, and the descriptors are those that the system allows.
//
//	limits := caps.Of(cfg.MemoryBytes, cfg.Descriptors, cfg.FrontAddr != "")
func Of(memory int64, descriptors int, servesCallers bool) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	share := func(f float64) int64 { return int64(f * float64(memory)) }
	callers := 0.0
	if servesCallers {
		callers = callerShare
	}
	sockets := max(0, descriptors-reservedDescriptors)
	connections := min(float64(sockets)*(1-outgoingShare), float64(share(connectionShare)/connectionBytes))
	requests := float64(share(requestShare))
	l := Limits{
		Payload:           share(payloadShare),
		Bodies:            share(bodyShare),
		Batches:           share(batchShare),
		Answers:           share(answerShare),
		Texts:             share(textShare),
		CallerRequests:    int64(callers * requests),
		AdminRequests:     int64(2 * adminShare * requests),
		CallerConnections: int(callers * connections),
		AdminConnections:  max(minAdminConnections, int(adminShare*connections)),
	}
	l.PeerRequests = int64(requests) - l.CallerRequests - l.AdminRequests
	l.PeerConnections = max(minAdminConnections, int(connections)-l.CallerConnections-2*l.AdminConnections)
	return l
}

// Connections is the number of all connections that clients may open.
func (l Limits) Connections() int {
	return l.CallerConnections + l.PeerConnections + 2*l.AdminConnections
}

// Memory is the memory of a process that uses all of its limits, in bytes.
func (l Limits) Memory() int64 {
	return programBytes + l.Payload + l.CallerRequests + l.PeerRequests + l.AdminRequests +
		int64(l.Connections())*connectionBytes
}

// systemDescriptors is the number of descriptors that the system allows this process.
func systemDescriptors() int {
	const unknown = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	return int(min(limit.Cur, 1<<20))
}
