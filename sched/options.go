package sched

// Option configures a Scheduler.
type Option func(*Scheduler)
