// Package procs holds tests only: they start the programs lavendermux and
// standin as processes on loopback, end, pause and stop some of them by signal,
// and check what trainers, callers and endpoints saw.
package procs
