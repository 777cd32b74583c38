// Command second runs one case of the second review: second CASE RECORD. The variable TROUBLE=0 leaves the disruption
// out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"

	"ferryfront.example/ferryfront/review/second/rig"
)

// cases are the cases by name, and two further faults without a case, refused-file and late-drain. Each returns an error
// if it could not run.
var cases = map[string]func(r *rig.Rig) error{
	"upgrade-in-outage": upgradeInOutage,
	"taken-back":        takenBack,
	"planned-end":       plannedEnd,
	"slow-reader":       slowReader,
	"moved-discovery":   movedDiscovery,
	"refused-file":      refusedFile,
	"late-drain":        lateDrain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		return rig.CannotRun
	}
	r, err := rig.New(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "second:", err)
		return rig.CannotRun
	}
	if err := cases[os.Args[1]](r); err != nil {
		r.Say("could not run: %v", err)
		r.Close()
		return rig.CannotRun
	}
	return r.Close()
}
