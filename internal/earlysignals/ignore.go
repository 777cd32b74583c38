//go:build cgo

package earlysignals

/*
#include <signal.h>

// Ignores SIGHUP from when the program is loaded, before the Go runtime starts. The runtime leaves an ignored SIGHUP alone
// until it is asked for it, while it unblocks a blocked one and ends the process.
__attribute__((constructor)) static void ignore_hangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
