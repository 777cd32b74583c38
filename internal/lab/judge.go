package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryfront.example/ferryfront/internal/daemon"
)

// What a fleet's experiment is judged by: what the members say, what they have logged, and the record.

// agreeMost bounds the time until all views agree.
const agreeMost = 15 * time.Second

// agree waits until every member that is up holds every one that is up alive, and takes its share.
func (f *fleet) agree() error {
	var last string
	for end := time.Now().Add(agreeMost); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last = f.disagreement(); last == "" {
			return nil
		}
	}
	return fmt.Errorf("the views do not agree: %s", last)
}

func (f *fleet) disagreement() string {
	now := time.Now()
	for i := range f.n {
		if !f.isUp(i, now) {
			continue
		}
		m, err := f.members(i)
		if err != nil {
			return err.Error()
		}
		state := map[string]string{}
		for _, o := range m.Members {
			state[o.Name] = o.State
		}
		for j := range f.n {
			if f.isUp(j, now) && state[strconv.Itoa(j)] != "alive" {
				return fmt.Sprintf("%d holds %d %q", i, j, state[strconv.Itoa(j)])
			}
		}
		if !m.IsSettled {
			return fmt.Sprintf("%d has not settled", i)
		}
	}
	return ""
}

// members asks a member for its view.
func (f *fleet) members(i int) (daemon.MembershipStatus, error) {
	var m daemon.MembershipStatus
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := daemon.SendCommand(ctx, f.world.Ingresses[i].Control, daemon.Command{Name: "members"},
		func(line []byte) error { return json.Unmarshal(line, &m) })
	return m, err
}

// death is one member declared dead, or what else is asked for, in another's view.
type death struct {
	observer, member int
	at               time.Time
}

// declared reads from the members' logs who came to a state in whose view.
func (f *fleet) declared(state string) (list []death, err error) {
	for i, in := range f.world.Ingresses {
		logFile, err := os.Open(in.Log)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(logFile)
		for lines.Scan() {
			line := lines.Text()
			if value(line, "msg") != "member" || value(line, "state") != state {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, value(line, "time"))
			member, bad := strconv.Atoi(value(line, "member"))
			if err != nil || bad != nil {
				return nil, fmt.Errorf("log line not read: %s", line)
			}
			list = append(list, death{i, member, at})
		}
		_ = logFile.Close()
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// recently is for how long one that was down may still be declared dead without that being false: the news is on
// its way.
const recently = 2 * time.Second

// judge fills in what the record and the logs come to.
func (f *fleet) judge(r *ChaosReport, d fleetFault, began, healed time.Time) {
	deaths, err := f.declared("dead")
	if err != nil {
		r.Error = err.Error()
	}
	first := map[[2]int]time.Time{}
	for _, x := range deaths {
		pair := [2]int{x.observer, x.member}
		if _, seen := first[pair]; !seen && !x.at.Before(began.Truncate(time.Millisecond)) {
			first[pair] = x.at
		}
		cut := f.cut != nil && f.cut(x.observer, x.member) && x.at.After(began) && x.at.Before(healed.Add(recently))
		if !cut && !f.wasDown(x.member, x.at.Add(-recently), x.at) && !f.wasDown(x.observer, x.at.Add(-recently), x.at) {
			r.FalseDead++
		}
	}
	if d.gone != nil {
		h := hdrhistogram.New(1, 60_000_000, 3)
		for m := range f.n {
			last, should := time.Duration(0), false
			for o := range f.n {
				if o == m || !d.gone(f, o, m) {
					continue
				}
				should = true
				at, seen := first[[2]int{o, m}]
				if !seen {
					r.Error = fmt.Sprintf("%d never held %d dead", o, m)
					at = healed.Add(time.Minute)
				}
				last = max(last, at.Sub(began))
			}
			if should {
				_ = h.RecordValue(last.Microseconds()) // a minute is more than any experiment lasts
			}
		}
		p99 := float64(h.ValueAtQuantile(99)) / 1e3
		r.DetectMS = &p99
	}
	f.account(r)
}

// account judges the record. What a member had taken that was down meanwhile is its clients' to ask again.
func (f *fleet) account(r *ChaosReport) {
	v := f.world.Record.Check(ceilingRules(overCeilingTenants))
	if !f.newRules.IsZero() {
		rules := ceilingRules(overCeilingTenants)
		rules.CeilingRate, rules.CeilingBurst, rules.CeilingSlack = rules.CeilingRate/2, rules.CeilingBurst/2, rules.CeilingSlack/2
		rules.From = f.newRules
		v.CeilingBreaks += f.world.Record.Check(rules).CeilingBreaks
	}
	r.CeilingBreaks, r.OverrunHosts, r.LateSends, r.Faults = v.CeilingBreaks, v.OverrunHosts, v.LateSends, v.Faults
	r.Doubled = v.ForbiddenRepeats + v.SecondCopies
	ran := map[string]int{}
	for _, run := range f.world.Record.Runs() {
		if run.Class == "commit" {
			if ran[run.ID]++; ran[run.ID] == 2 {
				r.Doubled++
			}
		}
	}
	asked, served := 0, 0
	for _, a := range f.world.Record.Answers() {
		r.Requests++
		if f.wasDown(a.Via, a.Due, a.End) {
			r.DownRequests++
			continue
		}
		if a.Status == 0 || a.Twice {
			r.Lost++
			f.Say("lost: %s through %d, due %s: %s", a.ID, a.Via, a.Due.Format(time.RFC3339Nano), a.Lost)
		}
		if a.Plan == "boutique" {
			if asked++; a.Status == 200 {
				served++
			}
		}
	}
	if asked > 0 {
		r.ServedShare = float64(served) / float64(asked)
	}
}
