// Package own reads the program's own settings: one CUE file, checked against the schema in schema.cue, which is built
// into the program. It reads the file once for each call and keeps no state. The configuration that the platform gives
// to an ingress comes from GW_CONFIG instead, see package config.
package own

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"

	"ferryfront.example/ferryfront/internal/front/openapi"
	"ferryfront.example/ferryfront/internal/limits"
)

//go:embed schema.cue
var schema string

// Settings holds the settings of one file, with defaults filled in. Fields are decoded by their own names; schema.cue
// describes them. Durations are text in the form of [time.ParseDuration]; ApplyLimits parses them.
type Settings struct {
	Control string // path of the control socket; empty: none
	Log     struct{ Format, Level string }
	Front   json.RawMessage // the second front, in the form of deploy/front.json; nil: none

	Telemetry struct {
		Endpoint, Every string
		Queue           int
	}
	Membership struct {
		Enabled              bool
		Period, Ack, Suspect string
		Helpers              int
	}
	ControlGroup struct {
		Replicas  []string
		ReadyWait string `json:"ready_wait"`
	} `json:"control_group"`
	Handover struct{ Hello, Prepare, Copy, Freeze, Probation string }

	path string // of the file, for errors
}

// Read reads a file and checks all of it, including durations, addresses and the second front. Errors name the file and
// the field, and the line where it is known.
func Read(path string) (*Settings, error) {
	v, err := loadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Settings{path: path}
	if err := v.Decode(s); err != nil {
		return nil, describeErrors(path, err)
	}
	if err := s.ApplyLimits(&limits.Limits{}); err != nil {
		return nil, err
	}
	if err := checkReplicas(path, v, s.ControlGroup.Replicas); err != nil {
		return nil, err
	}
	if s.Front != nil {
		if _, err := s.FrontFile(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// checkReplicas returns an error for the first address of the control group that is invalid, has port 0 or is repeated.
func checkReplicas(path string, v cue.Value, replicas []string) error {
	for i, addr := range replicas {
		at, err := netip.ParseAddrPort(addr)
		switch {
		case err == nil && at.Port() == 0:
			err = errors.New("port 0")
		case err == nil && slices.Contains(replicas[:i], addr):
			err = errors.New("duplicate address")
		}
		if err != nil {
			field := fmt.Sprintf("control_group.replicas[%d]", i)
			line := v.LookupPath(cue.ParsePath(field)).Pos().Line()
			return fmt.Errorf("settings: %s:%d: %s: %q is not a valid replica address: %w", path, line, field, addr, err)
		}
	}
	return nil
}

// Show returns the settings of a file in CUE, checked against the schema and with defaults filled in. It doesn't make the
// further checks of Read.
func Show(path string) (string, error) {
	v, err := loadFile(path)
	if err != nil {
		return "", err
	}
	b, err := format.Node(v.Syntax(cue.Final(), cue.Docs(true), cue.Definitions(false), cue.Optional(false)))
	if err != nil {
		return "", describeErrors(path, err)
	}
	return string(b) + "\n", nil
}

// loadFile reads a file and unifies it with the schema.
func loadFile(path string) (cue.Value, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return cue.Value{}, fmt.Errorf("settings: %w", err)
	}
	ctx := cuecontext.New()
	def := ctx.CompileString(schema, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Settings"))
	if err := def.Err(); err != nil {
		return cue.Value{}, fmt.Errorf("settings: the program's schema: %w", err)
	}
	file := ctx.CompileBytes(raw, cue.Filename(path))
	if err := file.Err(); err != nil {
		return cue.Value{}, describeErrors(path, err)
	}
	v := def.Unify(file)
	if err := v.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return cue.Value{}, describeErrors(path, err)
	}
	return v, nil
}

// describeErrors turns a CUE error into one with a line of text for each fault: file, line, field and message. Where
// values in the schema and in the file conflict, it names the line in the file.
func describeErrors(path string, err error) error {
	var lines []string
	for _, e := range cueerrors.Errors(err) {
		at := path
		for _, pos := range append(cueerrors.Positions(e), e.Position()) {
			if pos.IsValid() && pos.Filename() == path {
				at = fmt.Sprintf("%s:%d", path, pos.Line())
				break
			}
		}
		what, args := e.Msg()
		text := at + ": "
		if field := strings.Join(e.Path(), "."); field != "" {
			text += strings.TrimPrefix(field, "#Settings.") + ": "
		}
		if text += fmt.Sprintf(what, args...); len(lines) == 0 || lines[len(lines)-1] != text {
			lines = append(lines, text)
		}
	}
	return fmt.Errorf("settings: %s", strings.Join(lines, "\n"))
}

// FrontFile returns the settings of the second front, in the form of a front file of its own. Front must not be nil.
func (s *Settings) FrontFile() (openapi.File, error) { return openapi.ParseFile(s.Front, s.path) }

// ApplyLimits overwrites the fields of l that the file sets: intervals, timeouts and counts. It returns an error if a
// duration isn't above 0 or the acknowledgement timeout is longer than the probe interval; l may be changed in part then.
func (s *Settings) ApplyLimits(l *limits.Limits) error {
	for _, f := range []struct {
		name, text string
		target     *time.Duration
	}{{"telemetry.every", s.Telemetry.Every, &l.TelemetryInterval},
		{"control_group.ready_wait", s.ControlGroup.ReadyWait, &l.ControlReadyTimeout},
		{"membership.period", s.Membership.Period, &l.MemberProbeInterval}, {"membership.ack", s.Membership.Ack, &l.MemberAckTimeout},
		{"membership.suspect", s.Membership.Suspect, &l.MemberSuspicionTimeout}, {"handover.hello", s.Handover.Hello, &l.HelloTimeout},
		{"handover.prepare", s.Handover.Prepare, &l.PrepareTimeout}, {"handover.copy", s.Handover.Copy, &l.CopyTimeout},
		{"handover.freeze", s.Handover.Freeze, &l.FreezeTimeout}, {"handover.probation", s.Handover.Probation, &l.ProbationPeriod}} {
		d, err := time.ParseDuration(f.text)
		if err != nil || d <= 0 {
			return fmt.Errorf("%s: %s: %q is not a duration above 0", filepath.Clean(s.path), f.name, f.text)
		}
		*f.target = d
	}
	l.TelemetryQueueLength, l.MemberIndirectProbes = s.Telemetry.Queue, s.Membership.Helpers
	if l.MemberAckTimeout > l.MemberProbeInterval {
		return fmt.Errorf("%s: membership.ack: %q is longer than membership.period", filepath.Clean(s.path), s.Membership.Ack)
	}
	return nil
}
