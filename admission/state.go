package admission

import (
	"math/rand/v2"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// Gateway decides for one gatekeeper. It is not safe for concurrent use.
type Gateway struct {
	settings     Settings
	source       *rand.PCG
	rng          *rand.Rand
	now          time.Duration
	isStarted    bool
	ceilingStart time.Duration // time of the first event
	actions      []Action
	logLines     int // lines for the operator so far

	membership   membership
	requests     map[uint64]*request
	customers    map[uint64]*customer
	counterCalls map[string][]*counterCall // out on the counter, by name, in order

	counterFailures             int  // counter calls lost in a row
	isBreakerOpen               bool // the circuit breaker
	nextCounterProbe            time.Duration
	counterAnsweredAt           time.Duration // last answer of the counter
	counterBaseline             time.Duration // what an answer takes of a counter at ease: a far one is not crowded
	callsPerRequest, queryShare float64       // calls per request, EWMA; part of the requests that ask
	queryShareAverage           float64       // the same over long, EWMA

	servers          map[string]*server
	serversByName    []*server // in order of name
	preferred        []*server // those that are up, in the order in which this door prefers them
	subsetSize       int       // how many of them it uses while all is well
	held             []*request
	recheckAt        time.Duration           // the next recheck is set for this time
	retryBudget      float64                 // for retries
	liveAttempts     float64                 // attempts out
	answers          eventRate               // answers
	classLatency     []estimate.LatencyModel // of each class
	classMix         estimate.Mix            // of the classes, as they come
	topClassShortage estimate.FadingAverage  // part of the requests of most worth that find no room
	timeoutShare     float64                 // part of the attempts that got no answer in time, EWMA
	meanLatency      float64                 // latency of a request, EWMA, seconds
	meanTimeInFlight float64                 // how long a request is out, answered or not, EWMA, seconds
	admitShare       float64                 // part of the requests admitted, by how prompt the servers answer
	queryExponents   []float64               // of each plan: the power of askShare that asks
	admitExponents   []float64               // of each class: the power of admit that is admitted
	planDemand       []demandEstimate        // of each plan's customers: what all doors ask, over what fits
	totalsValidFrom  []time.Duration         // from when on the counter's windows of each plan are of one length, see unsettle
}
