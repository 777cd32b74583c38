// Package earlysignals catches SIGHUP from the initialization of the program on. By default that signal ends a process,
// and the initialization of other packages takes long enough for a reload to be requested meanwhile. The package only
// catches the signals; the program reads them from Hangups and acts on them.
package earlysignals

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups delivers each SIGHUP since the initialization of this package. It holds 4; further ones are dropped until one
// is read, which loses no reload: one that begins later reads what they were sent for. It delivers no other signal, so
// many SIGHUPs displace none.
var Hangups = make(chan os.Signal, 4)

func init() { signal.Notify(Hangups, syscall.SIGHUP) }
