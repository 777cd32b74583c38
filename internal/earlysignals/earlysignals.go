// Package earlysignals catches SIGHUP from the initialization of the program on. By default that signal ends a process,
// and the initialization of other packages takes long enough for a reload to be requested meanwhile. The package only
// catches the signals; the program reads them from Hangups and acts on them.
package earlysignals

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups delivers each SIGHUP since the initialization of this package. It buffers 4; while it is full, further ones are
// dropped. No change of the configuration is missed: the reloads for the buffered signals begin later and read it. Hangups
// delivers no other signal, so many SIGHUPs can't displace one.
var Hangups = make(chan os.Signal, 4)

func init() { signal.Notify(Hangups, syscall.SIGHUP) }
