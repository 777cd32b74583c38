package config

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// readTries and readEvery are how often and how far apart a file is tried to be read that can't be for a reason which may
// pass. Nobody asks a second time for a reload that failed.
const (
	readTries = 20
	readEvery = 50 * time.Millisecond
)

// readSystem reads a file; tests put one in its place that fails.
var readSystem = os.ReadFile

// readFile reads a file. It blocks for readTries times readEvery at the most.
func readFile(path string) (raw []byte, err error) {
	for try := range readTries {
		if try > 0 {
			time.Sleep(readEvery)
		}
		if raw, err = readSystem(path); err == nil || !passes(err) {
			break
		}
	}
	return raw, err
}

// passes tells whether an error of the system's may be over soon. That a file is not there, or is not ours to read, is not.
func passes(err error) bool {
	for _, passing := range []syscall.Errno{syscall.EIO, syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EINTR,
		syscall.EAGAIN} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
