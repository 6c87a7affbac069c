// Package sighup keeps a SIGHUP from ending a program that is still starting.
//
// Until a program calls signal.Notify, the Go runtime ends it at a SIGHUP, and before main
// runs, all packages are initialized, which takes tens of milliseconds on a busy machine.
// A signal that a process ignores before the runtime starts stays ignored until
// signal.Notify, so a constructor, which the C library calls first, ignores it. It does so
// only for the subcommands in Services; operators' commands still end with their terminal.
//
// Between exec and the constructor, about a millisecond, only the process that starts the
// program can help: if it ignores SIGHUP itself, the program inherits that.
package sighup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Services are the subcommands that run until they are stopped and so survive a SIGHUP. The
// constructor in constructor.c has the same list.
var Services = []string{"entry", "node", "side"}

// Catch returns a channel that receives each SIGHUP from now on, or nil if args are not
// those of a service. Call it first in main.
//
//	hangups := sighup.Catch(os.Args[1:])
func Catch(args []string) chan os.Signal {
	if len(args) == 0 || !slices.Contains(Services, args[0]) {
		return nil
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
