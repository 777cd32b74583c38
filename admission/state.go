package admission

import (
	"math/rand/v2"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// Gateway decides for one gatekeeper. It is not safe for concurrent use.
type Gateway struct {
	s       Settings
	source  *rand.PCG
	rng     *rand.Rand
	now     time.Duration
	started bool
	began   time.Duration // time of the first event
	out     []Action
	logs    int // lines for the operator so far

	fleet     present
	requests  map[uint64]*request
	customers map[uint64]*customer
	calls     map[string][]*call // out on the counter, by name, in order

	failures           int  // counter calls lost in a row
	open               bool // the circuit breaker
	nextProbe          time.Duration
	answeredAt         time.Duration // last answer of the counter
	ease               time.Duration // what an answer takes of a counter at ease: a far one is not crowded
	callRate, askShare float64       // calls per request, EWMA; part of the requests that ask
	asked              float64       // the same over long, EWMA

	servers map[string]*server
	ring    []*server // in order of name
	order   []*server // those that are up, in the order in which this door prefers them
	near    int       // how many of them it uses while all is well
	held    []*request
	holdAt  time.Duration           // the next recheck is set for this time
	budget  float64                 // for retries
	live    float64                 // attempts out
	served  decaying                // answers
	stats   []estimate.LatencyModel // of each class
	mix     estimate.Mix            // of the classes, as they come
	short   estimate.FadingAverage  // part of the requests of most worth that find no room
	unheard float64                 // part of the attempts that got no answer in time, EWMA
	usual   float64                 // latency of a request, EWMA, seconds
	outFor  float64                 // how long a request is out, answered or not, EWMA, seconds
	admit   float64                 // part of the requests admitted, by how prompt the servers answer
	thin    []float64               // of each plan: the power of askShare that asks
	shed    []float64               // of each class: the power of admit that is admitted
	press   []evidence              // of each plan's customers: what all doors ask, over what fits
	settled []time.Duration         // from when on the counter's windows of each plan are of one length, see unsettle
}
