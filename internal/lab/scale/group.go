package scale

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// replicas of the control group, one a region.
const replicas = regions

// leaderMost is how long a group may take to have a leader.
const leaderMost = 10 * time.Second

// openGroup starts the control group, and relays between each ingress and each replica.
func (f *fleet) openGroup(dir string) error {
	data := filepath.Join(dir, "control")
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	binary := filepath.Join(filepath.Dir(f.run.Setup.Lab), "ferrycontrol")
	var err error
	if f.group, err = standin.NewControlGroup(data, binary, replicas); err != nil {
		return err
	}
	f.noteGroup()
	f.relays, err = standin.NewRelays(f.topology.Instances, f.group.Addrs())
	return err
}

// noteGroup has the processes of the control group counted.
func (f *fleet) noteGroup() {
	f.processes.Lock()
	defer f.processes.Unlock()
	f.groupPIDs = f.group.PIDs()
}

// cutGroup cuts the ingresses inside an island off from the replicas outside and the other way round, and the replica of
// a region that is inside from the two others: that process is stopped, so that no message and no end of a connection
// crosses in either direction. What differs from a cut: the ingresses of its own region do not hear it either. It could
// grant them nothing. No ingresses inside: all is as before.
func (f *fleet) cutGroup(inside map[int]bool) {
	if f.group == nil {
		return
	}
	stopped := map[int]bool{}
	for m := range inside {
		stopped[memberRegion(m)] = true
	}
	for replica := range replicas {
		if stopped[replica] {
			f.group.Signal(replica, syscall.SIGSTOP)
		} else {
			f.group.Signal(replica, syscall.SIGCONT)
		}
	}
	f.relays.Set(func(ingress, replica int, _ standin.Direction) bool { return inside[ingress] != stopped[replica] })
}

var errNoGroup = errors.New("there is no control group")

// leader is the replica that leads.
func (f *fleet) leader() (replica int, err error) {
	if f.group == nil {
		return 0, errNoGroup
	}
	return f.group.Leader(leaderMost)
}

// killReplicas kills replicas of the control group.
func (f *fleet) killReplicas(list ...int) {
	for _, replica := range list {
		f.group.Kill(replica)
	}
	f.noteGroup()
}

// startGroup starts all replicas that do not run, on what their directories hold.
func (f *fleet) startGroup() error {
	defer f.noteGroup()
	for replica := range replicas {
		if err := f.group.Start(replica); err != nil {
			return err
		}
	}
	return nil
}
