// Package own reads the program's own settings: one CUE file, checked against a schema that is part of the
// program. What the platform tells an ingress is not here but in GW_CONFIG, see package config.
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

// Settings are a file's, with defaults filled in. Bounds go to [limits.Limits], by Limit.
type Settings struct {
	Control string
	Log     struct{ Format, Level string }
	Front   json.RawMessage // as deploy/front.json says it; nil: none

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

	path string
}

// Read reads a file. Its errors name file, line and field.
func Read(path string) (*Settings, error) {
	v, err := load(path)
	if err != nil {
		return nil, err
	}
	s := &Settings{path: path}
	if err := v.Decode(s); err != nil {
		return nil, explain(path, err)
	}
	if err := s.Limit(&limits.Limits{}); err != nil {
		return nil, err
	}
	if err := checkReplicas(path, v, s.ControlGroup.Replicas); err != nil {
		return nil, err
	}
	if s.Front != nil {
		if _, err := s.File(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// checkReplicas tells the first address of the control group that can't be one, or is there twice.
func checkReplicas(path string, v cue.Value, replicas []string) error {
	for i, addr := range replicas {
		at, err := netip.ParseAddrPort(addr)
		switch {
		case err == nil && at.Port() == 0:
			err = errors.New("port 0")
		case err == nil && slices.Contains(replicas[:i], addr):
			err = errors.New("it is there twice")
		}
		if err != nil {
			field := fmt.Sprintf("control_group.replicas[%d]", i)
			line := v.LookupPath(cue.ParsePath(field)).Pos().Line()
			return fmt.Errorf("settings: %s:%d: %s: %q is no address of a replica: %w", path, line, field, addr, err)
		}
	}
	return nil
}

// Show returns a file as it is in force: checked, with defaults, in CUE.
func Show(path string) (string, error) {
	v, err := load(path)
	if err != nil {
		return "", err
	}
	b, err := format.Node(v.Syntax(cue.Final(), cue.Docs(true), cue.Definitions(false), cue.Optional(false)))
	if err != nil {
		return "", explain(path, err)
	}
	return string(b) + "\n", nil
}

func load(path string) (cue.Value, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return cue.Value{}, fmt.Errorf("settings: %w", err)
	}
	ctx := cuecontext.New()
	def := ctx.CompileString(schema, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Settings"))
	if err := def.Err(); err != nil {
		return cue.Value{}, fmt.Errorf("settings: the program's schema: %w", err)
	}
	own := ctx.CompileBytes(raw, cue.Filename(path))
	if err := own.Err(); err != nil {
		return cue.Value{}, explain(path, err)
	}
	v := def.Unify(own)
	if err := v.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return cue.Value{}, explain(path, err)
	}
	return v, nil
}

// explain makes one line of each fault: file, line, field, and what is wrong with it. Of the places that
// clash, the file's own is told.
func explain(path string, err error) error {
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

// File is the second front's part, as a file of its own would say it.
func (s *Settings) File() (openapi.File, error) { return openapi.ParseFile(s.Front, s.path) }

// Limit puts the file's bounds in place.
func (s *Settings) Limit(l *limits.Limits) error {
	for _, f := range []struct {
		name, text string
		to         *time.Duration
	}{{"telemetry.every", s.Telemetry.Every, &l.TelemetryInterval},
		{"control_group.ready_wait", s.ControlGroup.ReadyWait, &l.ControlReadyTimeout},
		{"membership.period", s.Membership.Period, &l.MemberProbeInterval}, {"membership.ack", s.Membership.Ack, &l.MemberAckTimeout},
		{"membership.suspect", s.Membership.Suspect, &l.MemberSuspicionTimeout}, {"handover.hello", s.Handover.Hello, &l.HelloTimeout},
		{"handover.prepare", s.Handover.Prepare, &l.PrepareTimeout}, {"handover.copy", s.Handover.Copy, &l.CopyTimeout},
		{"handover.freeze", s.Handover.Freeze, &l.FreezeTimeout}, {"handover.probation", s.Handover.Probation, &l.ProbationPeriod}} {
		d, err := time.ParseDuration(f.text)
		if err != nil || d <= 0 {
			return fmt.Errorf("%s: %s: %q is no time above zero", filepath.Clean(s.path), f.name, f.text)
		}
		*f.to = d
	}
	l.TelemetryQueueLength, l.MemberIndirectProbes = s.Telemetry.Queue, s.Membership.Helpers
	if l.MemberAckTimeout > l.MemberProbeInterval {
		return fmt.Errorf("%s: membership.ack: %q is longer than membership.period", filepath.Clean(s.path), s.Membership.Ack)
	}
	return nil
}
