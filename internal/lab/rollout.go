package lab

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/standin"
)

// Rollouts: a new version of the settings is given to one member while there is a fault.

// Rollouts names them.
func Rollouts() (names []string) {
	for _, d := range rollouts() {
		names = append(names, d.name)
	}
	return names
}

// underWay is how long after the new version is given a member is killed: it is on its way then.
const underWay = 20 * time.Millisecond

func rollouts() []fleetFault {
	return []fleetFault{
		{name: "rollout+partition", length: 6 * time.Second, version: 1, begin: func(s *fleet) func() {
			s.cut = func(a, b int) bool { return a < s.n/2 != (b < s.n/2) }
			s.links.Set(s.cut, 0, 0)
			s.roll(0)
			return s.heal
		}},
		{name: "rollout+kill", length: 6 * time.Second, version: 1, begin: func(s *fleet) func() {
			s.roll(0)
			time.Sleep(underWay)
			s.down(1)
			s.world.Ingresses[1].Kill()
			return func() { // it comes back with its old file
				if err := s.world.Again(1); err != nil {
					s.Say("not started again: %v", err)
				}
				s.up(1)
			}
		}},
		{name: "rollout+oneway", length: 6 * time.Second, version: 1, begin: func(s *fleet) func() {
			s.links.Set(func(from, to int) bool { return from == 0 && to == 1 }, 0, 0)
			s.roll(0)
			return s.heal
		}},
	}
}

// roll gives a member the next version: tenants with a ceiling may have half, the others a fifth more.
func (s *fleet) roll(member int) {
	err := s.world.Ingresses[member].Configure(func(config, settings map[string]any) {
		config["settings_version"] = config["settings_version"].(int) + 1
		settings["tiersOfService"] = rolled()
	})
	if err != nil {
		s.Say("not rolled out: %v", err)
		return
	}
	_ = syscall.Kill(s.world.Ingresses[member].Cmd.Process.Pid, syscall.SIGHUP)
}

// rolled are the plans of the new version.
func rolled() []map[string]any {
	plans := standin.Plans()
	plans[0]["quotaRate"], plans[0]["storeSize"] = 60, 240
	last := plans[len(plans)-1]
	last["hardRate"], last["neverOverDepth"], last["hardSlack"], last["quotaRate"], last["storeSize"] = 20, 40, 4, 10, 20
	return plans
}

// contradictionMost is the stated bound in ms: what a member that begins anew waits to hear what others act on, and two
// periods for an answer that is lost once.
func contradictionMost(members int) float64 {
	l, err := limits.For(limits.Site{Sockets: 1024})
	if err != nil {
		return 0
	}
	return float64((time.Duration(members+3) * l.MemberProbeInterval).Milliseconds())
}

// stale counts the members that are up and do not act on the newest version.
func (s *fleet) stale(r *ChaosReport) {
	n, newest, now := 0, uint64(0), time.Now()
	var acting [][]uint64
	for i := range s.n {
		if !s.isUp(i, now) {
			continue
		}
		m, err := s.members(i)
		if err != nil {
			r.Error = err.Error()
			return
		}
		acting = append(acting, m.ActiveVersions)
		for _, v := range m.ActiveVersions {
			newest = max(newest, v)
		}
	}
	for _, list := range acting {
		if !slices.Contains(list, newest) {
			n++
		}
	}
	r.StaleMembers = &n
}

// agreed waits until all members act on one version alone, and then has the new ceiling kept for a while.
func (s *fleet) agreed(r *ChaosReport, version int, healed time.Time) {
	var last string
	for end := time.Now().Add(agreeMost); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		last = ""
		for i := range s.n {
			m, err := s.members(i)
			if err != nil || len(m.ActiveVersions) != 1 || m.ActiveVersions[0] != uint64(version) {
				last = fmt.Sprintf("%d acts on %v %v", i, m.ActiveVersions, err)
			}
		}
		if last == "" {
			ms := float64(time.Since(healed).Microseconds()) / 1e3
			r.AgreedMS = &ms
			s.newRules = time.Now()
			time.Sleep(3 * time.Second) // the measurement's length
			return
		}
	}
	r.Error = "the new version is not agreed on: " + last
}

// acts is a time from which a member acts on versions; none: it does not serve.
type acts struct {
	at       time.Time
	versions []string
}

// contradictions reads from the logs who acted on what when.
func (s *fleet) contradictions(r *ChaosReport) {
	rejected := 0
	var lives [][]acts
	for i, in := range s.world.Ingresses {
		f, err := os.Open(in.Log)
		if err != nil {
			r.Error = err.Error()
			return
		}
		var list []acts
		var begins []string // what it will act on once it has heard the others
		heard := false
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			line := lines.Text()
			at, _ := time.Parse(time.RFC3339Nano, value(line, "time")) // a line without one is none of these
			switch {
			case strings.Contains(line, `msg="settings version turned down"`), strings.Contains(line, `msg="configuration not reloaded"`):
				rejected++
			case strings.Contains(line, "msg=serving "): // a new life
				heard, begins = false, nil
				list = append(list, acts{at, nil})
			case strings.Contains(line, `msg="settings version heard"`):
				heard = true
				list = append(list, acts{at, begins})
			case strings.Contains(line, `msg="settings version" `):
				begins = strings.Split(value(line, "acting"), ",")
				if heard {
					list = append(list, acts{at, begins})
				}
			}
		}
		_ = f.Close()
		for _, p := range s.spells {
			if p.member == i {
				list = append(list, acts{p.from, nil})
			}
		}
		slices.SortStableFunc(list, func(a, b acts) int { return a.at.Compare(b.at) })
		lives = append(lives, list)
	}
	longest := time.Duration(0)
	end := time.Now()
	for i, a := range lives {
		for _, b := range lives[:i] {
			longest = max(longest, apart(a, b, end))
		}
	}
	ms := float64(longest.Microseconds()) / 1e3
	r.ContradictionMS, r.Rejected = &ms, &rejected
}

// apart is the longest time for which two members acted on nothing in common.
func apart(a, b []acts, end time.Time) (longest time.Duration) {
	var since time.Time
	var va, vb []string
	for len(a) > 0 || len(b) > 0 {
		var at time.Time
		if len(b) == 0 || len(a) > 0 && !a[0].at.After(b[0].at) {
			at, va, a = a[0].at, a[0].versions, a[1:]
		} else {
			at, vb, b = b[0].at, b[0].versions, b[1:]
		}
		if !since.IsZero() {
			longest = max(longest, at.Sub(since))
		}
		since = time.Time{}
		if len(va) > 0 && len(vb) > 0 && !slices.ContainsFunc(va, func(v string) bool { return slices.Contains(vb, v) }) {
			since = at
		}
	}
	if !since.IsZero() {
		longest = max(longest, end.Sub(since))
	}
	return longest
}

// value is that of a key of a log line.
func value(line, key string) string {
	_, rest, ok := strings.Cut(line, key+"=")
	if !ok {
		return ""
	}
	rest, _, _ = strings.Cut(rest, " ")
	return strings.Trim(rest, `"`)
}
