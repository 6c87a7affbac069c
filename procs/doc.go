// Package procs holds end-to-end tests only: they run the programs lavendermux and standin as
// processes on loopback, kill, pause and stop some of them by signal, and check what trainers,
// callers and endpoints saw.
package procs
