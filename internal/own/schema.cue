package ferryfront

// Schema of the program's own settings. Each field has a default, and a field that isn't listed here is an error.
// Durations have Go's form: "1.5s", "250ms". "ferryfront config show" prints the comments within this definition.
#Settings: {
	// The control socket, for ferryfront upgrade and status. Empty: none.
	control: string | *""

	log: {
		format: "json" | *"text"
		level:  "debug" | "warn" | "error" | *"info"
	}

	// A second front, with routes from an OpenAPI description or written by hand; what deploy/front.json says.
	front?: #Front

	telemetry: {
		// Of OTLP over HTTP. Empty: none.
		endpoint: =~"^https?://" | *""
		every:    #Time | *"5s"
		// Records, and spans, that may wait.
		queue: int & >=1 & <=1000000 | *2048
	}

	// Which ingresses are there, found out by messages between them: peer_listen and peers of GW_CONFIG. All
	// ingresses of a fleet have the same times.
	membership: {
		enabled: bool | *false
		// Between probes of one ingress.
		period: #Time | *"300ms"
		// For a probe's answer, before others are asked to help.
		ack: #Time | *"100ms"
		// After which a suspect that was not heard is dead.
		suspect: #Time | *"1s"
		helpers: int & >=0 & <=8 | *2
	}

	// The replicas of the control group, which hold the versions of settings and of the drained list and grant
	// this ingress its leases. None: off, and ingresses agree by membership alone. All ingresses of a fleet name
	// the same replicas in the same order.
	control_group: {
		// Of an IP address and a port each.
		replicas: [...#Address] | *[]
		// After which a new process is ready though it has reached no replica.
		ready_wait: #Time | *"5s"
	}

	// The bounds of an upgrade, by phase.
	handover: {
		hello:     #Time | *"2s"
		prepare:   #Time | *"4s"
		copy:      #Time | *"20s"
		freeze:    #Time | *"1s"
		probation: #Time | *"2s"
	}
}

// A duration.
#Time: =~"^([0-9]+(\\.[0-9]+)?(h|m|s|ms|us))+$"

// An IP address and a port: "192.0.2.5:7200", "[2001:db8::5]:7200".
#Address: =~"^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]+$"

// Where a request carries a value, and the default if it carries none.
#Place: {
	in?:      "header" | "query" | "path"
	name?:    string & !=""
	default?: string
}

// The second front; deploy/front.json has the same form.
#Front: {
	listen:       =~":[0-9]+$"
	description?: string & !=""
	routes?: [...{
		method: string
		path:   =~"^/"
		class:  string
		cost?:  int & >=1
		repeat?: "safe" | "keyed" | "never"
		body?:  bool
		required?: [...{in: "header" | "query" | "body", name: string & !=""}]
	}]
	customer: {#Place, format?: "hex" | "text"}
	plan:      #Place
	deadline?: #Place
	doors?:    #Place
}
