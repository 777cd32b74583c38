// The program's own settings: ferryfront serve --config deploy/ferryfront.cue. The platform's run line does not
// name this file, so all of it is off there. `ferryfront config show` prints it with every default, and
// `ferryfront config check` says what is wrong with it.

// Where ferryfront upgrade and ferryfront status reach the daemon.
control: "/run/ferryfront/control.sock"

log: format: "json"

// The bounds of an upgrade. No clients are read between freeze and commit.
handover: {
	freeze:    "1s"
	probation: "2s"
}

// Which ingresses are there, found out by messages between them. Needs peer_listen and peers in GW_CONFIG, and all
// ingresses of the fleet to have it.
membership: enabled: false

// The replicas of the control group, from which this ingress gets the versions of settings in force and its leases, as
// "10.0.1.7:7400". None: there is no control group. All ingresses of the fleet name the same in the same order.
control_group: replicas: []
