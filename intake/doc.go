// Package intake implements the state of an acceptor, the entry that accepts the submissions
// of a model while the metadata store is unavailable.
package intake
