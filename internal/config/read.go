package config

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// A read that fails with a temporary error is repeated, because nothing else repeats a reload that failed.
const (
	maxReadAttempts   = 20
	readRetryInterval = 50 * time.Millisecond
)

// readOSFile reads a file. Tests replace it by a function that fails.
var readOSFile = os.ReadFile

// readFile reads a file and retries after temporary errors. It blocks for up to maxReadAttempts * readRetryInterval.
func readFile(path string) (raw []byte, err error) {
	for attempt := range maxReadAttempts {
		if attempt > 0 {
			time.Sleep(readRetryInterval)
		}
		if raw, err = readOSFile(path); err == nil || !isTransient(err) {
			break
		}
	}
	return raw, err
}

// isTransient reports whether a system error may go away soon. A missing file or missing permission is permanent.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{syscall.EIO, syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EINTR,
		syscall.EAGAIN} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
