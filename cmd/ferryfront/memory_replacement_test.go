package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memoryOf returns what a process holds of its own, and what it has mapped of files, in bytes; zeros once it has ended.
func memoryOf(pid int) (anonymous, mapped int64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(b)) {
		name, value, _ := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if len(fields) == 0 {
			continue
		}
		kb, _ := strconv.ParseInt(fields[0], 10, 64)
		switch name {
		case "RssAnon":
			anonymous = kb << 10
		case "RssFile":
			mapped = kb << 10
		}
	}
	return anonymous, mapped
}

// A process is replaced in a crowd, and the old one told to end. Both together stay within the memory limit, and others are
// answered.
func TestReplacementInCrowdStaysWithinMemoryLimit(t *testing.T) {
	env := newTestEnv(t).withHandoverDir()
	env.withCrowdLimits()
	env.start()
	old := env.firstProcess()
	done := make(chan struct{})
	go func() {
		defer close(done)
		env.joinCrowd(crowdKinds, crowdClients, 6*time.Second)
	}()
	var successor atomic.Pointer[process]
	peak, peakWithBothTexts := int64(0), int64(0)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			sum, mapped := memoryOf(old.cmd.Process.Pid)
			texts := mapped
			if p := successor.Load(); p != nil {
				anonymous, text := memoryOf(p.cmd.Process.Pid) // of the program's text there is one copy in memory
				sum += anonymous
				texts += text
			}
			peak, peakWithBothTexts = max(peak, sum+max(mapped, texts-mapped)), max(peakWithBothTexts, sum+texts)
		}
	}()
	go func() {
		time.Sleep(1500 * time.Millisecond)
		successor.Store(env.startReplacement())
		time.Sleep(1500 * time.Millisecond)
		_ = old.cmd.Process.Signal(syscall.SIGTERM)
	}()
	longest, asked, unanswered := env.askBeside(done)
	<-sampled
	t.Logf("peak %d KB, %d KB with both copies of the text, longest wait %v, %d of %d unanswered", peak>>10,
		peakWithBothTexts>>10, longest, unanswered, asked)
	require.Contains(t, env.log.String(), `msg="taken over"`)
	require.Less(t, peak, int64(leastMemoryMB*mib))
	require.Less(t, longest, maxOrdinaryWait)
	require.Zero(t, unanswered)
}
