// Package earlysignals keeps SIGHUP from ending the process while it starts, which that signal does by default. It ignores
// the signal from when the program is loaded, and catches it from its own initialization on. The program reads the signals
// from Hangups and acts on them. One that is ignored is not missed, because the program reads its configuration later.
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
