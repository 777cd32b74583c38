package faulttest

import (
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/standin"
)

// The tolerances of the checks, which allow for sockets and a busy machine.
const (
	disconnectSlack  = 100 * time.Millisecond // after a client left, for which an attempt may still begin
	deadlineSlack    = 150 * time.Millisecond // by which the time told to a host may be over what its client has left
	answerSlack      = 500 * time.Millisecond // after a request's time, for its final answer
	observationSlack = 60 * time.Millisecond  // for clients and hosts of this process to note what they see
)

// The ceiling of the plan "distributeur" in standin.Plans.
const (
	ceilingRate  = 40
	ceilingBurst = 80
	ceilingSlack = 8
)

// forbiddenLogLine matches lines that no log may contain.
var forbiddenLogLine = regexp.MustCompile(`panic:|fatal error|decision module failed|unanswered at its deadline|` +
	`action not carried out|send for an unknown stream|upstream request without a message|not taken over`)

// trace returns the log lines of all ingresses that name a request, and those about stalls and starts.
func (w *world) trace(id string) string {
	var text strings.Builder
	for _, in := range w.world.Ingresses {
		log, err := os.ReadFile(in.Log)
		require.NoError(w.t, err)
		requestField := " request=" + id + " "
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, requestField) || strings.Contains(line, "stood still") || strings.Contains(line, "msg=serving") {
				text.WriteString(line)
			}
		}
	}
	return text.String()
}

// check compares what clients, hosts and logs have recorded with all terms.
func (w *world) check() {
	w.t.Helper()
	w.checkProcesses()
	w.checkAnswers()
	w.checkDisconnects()
	w.checkTimeouts()
	verdict := w.world.Record.Check(standin.Rules{Window: standin.Window, Customers: ceilingCustomers, CeilingRate: ceilingRate,
		CeilingBurst: ceilingBurst, CeilingSlack: ceilingSlack})
	require.Zero(w.t, verdict.ForbiddenRepeats+verdict.SecondCopies+verdict.LateSends+verdict.OverrunHosts+verdict.CeilingBreaks,
		"%v", verdict.Faults)
	ran := map[string]int{}
	for _, run := range w.world.Record.Runs() {
		if run.Class == "commit" {
			ran[run.ID]++
			require.LessOrEqual(w.t, ran[run.ID], 1, "%s must not run twice", run.ID)
		}
	}
}

// checkProcesses requires that all processes run, and that none has logged what it must not.
func (w *world) checkProcesses() {
	w.t.Helper()
	for _, in := range w.world.Ingresses {
		log, err := os.ReadFile(in.Log)
		require.NoError(w.t, err)
		select {
		case <-in.Ended():
			require.Fail(w.t, "the process has ended", "%s: %s", in.Name, log)
		default:
		}
		for line := range strings.Lines(string(log)) {
			require.False(w.t, forbiddenLogLine.MatchString(line), "%s: %s", in.Name, line)
		}
	}
}

// checkAnswers requires one whole answer, in time, to each request of an ingress that was up all the while.
func (w *world) checkAnswers() {
	w.t.Helper()
	served, all := 0, 0 // of customers within their quotas
	for _, a := range w.world.Record.Answers() {
		if w.wasDown(a.Via, a.Due.Add(-observationSlack), a.End.Add(observationSlack)) {
			continue
		}
		if a.Status == 0 {
			require.Fail(w.t, "no whole answer", "%s (%s) through n%d, %v after the start: %s\n%s", a.ID, a.Class, a.Via,
				a.Due.Sub(w.began), a.Lost, w.trace(a.ID))
		}
		require.False(w.t, a.Twice, a.ID)
		require.LessOrEqual(w.t, a.End.Sub(a.Due), requestTimeout+answerSlack, a.ID)
		if a.Plan != "boutique" {
			continue
		}
		if all++; a.Status == 200 {
			served++
		}
	}
	require.Positive(w.t, all)
	w.t.Logf("served %d of %d", served, all)
	require.Greater(w.t, float64(served), 0.3*float64(all), "faults at some hosts are no reason to serve next to nothing")
}

// checkDisconnects requires that no attempt begins long after its client closed its connection.
func (w *world) checkDisconnects() {
	w.t.Helper()
	left := map[string]time.Time{}
	for _, d := range w.world.Record.Departures() {
		left[d.ID] = d.Left
	}
	for _, run := range w.world.Record.Runs() {
		if at, gone := left[run.ID]; gone && run.At.Sub(at) > disconnectSlack+observationSlack {
			require.Fail(w.t, "begun for a client that had left", "%s at %s, %v after that\n%s", run.ID, run.Host,
				run.At.Sub(at), w.trace(run.ID))
		}
	}
}

// checkTimeouts requires that a host is told at most the time that the client has left.
func (w *world) checkTimeouts() {
	w.t.Helper()
	due := map[string]time.Time{}
	for _, a := range w.world.Record.Answers() {
		due[a.ID] = a.Due
	}
	for _, run := range w.world.Record.Runs() {
		at, known := due[run.ID]
		if !known {
			continue
		}
		left := at.Add(requestTimeout).Sub(run.At)
		if run.Timeout > max(0, left)+deadlineSlack+observationSlack {
			require.Fail(w.t, "a host was told more than was left", "%s at %s, %v after it was due: told %v of %v\n%s", run.ID,
				run.Host, run.At.Sub(at), run.Timeout, left, w.trace(run.ID))
		}
	}
}
