//go:build cgo && linux

package sighup

// A package with C files must import C; the constructor in constructor.c needs no call.

import "C"
