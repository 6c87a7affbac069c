package sched

// Option changes a Chooser as New makes it.
type Option func(*Chooser)
