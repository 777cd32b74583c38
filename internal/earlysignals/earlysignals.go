// Package earlysignals takes SIGHUP from the initialization of the program on. Left to its default that signal ends a process,
// and other packages' initialization takes long enough for a reload to come in it. It does nothing with the signals.
package earlysignals

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups brings each SIGHUP since the initialization of this package. Of many that nobody takes the last are dropped: a
// reload that is begun later reads what they were about. No other signal comes this way, so none is dropped for them.
var Hangups = make(chan os.Signal, 4)

func init() { signal.Notify(Hangups, syscall.SIGHUP) }
