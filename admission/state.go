package admission

// The state that a gateway keeps. Only the policy files decide by it; gateway.go says which those are.

import (
	"math/rand/v2"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// Gateway decides for one gateway of the fleet. It is not safe for concurrent use.
type Gateway struct {
	settings     Settings
	source       *rand.PCG  // the state behind rng
	rng          *rand.Rand // all random draws; their order is part of the behaviour
	now          time.Duration
	isStarted    bool          // the first event was handled, or a predecessor's state was adopted
	ceilingStart time.Duration // from when this gateway's parts of ceilings fill, beginning empty
	actions      []Action      // returned by the present call; reused by the next
	logLines     int           // lines written for the operator so far

	membership   membership
	requests     map[uint64]*request       // not answered, or with an open attempt, by id
	customers    map[uint64]*customer      // seen within customerTTL, by id
	counterCalls map[string][]*counterCall // not answered, by counter name, the oldest first

	maxCustomers       int           // in memory; 0: not bounded
	nextCustomerSearch time.Duration // earliest time of the next search for customers to forget

	counterFailures   int           // counter calls lost in a row
	isBreakerOpen     bool          // the counter is only probed
	nextCounterProbe  time.Duration // earliest time of the next probe
	counterAnsweredAt time.Duration // time of the counter's last answer
	counterBaseline   time.Duration // latency of the counter while not overloaded; large if it is far away
	callsPerRequest   float64       // counter calls per request, EWMA
	queryShare        float64       // share of the requests that query the counter
	queryShareAverage float64       // long-term EWMA of queryShare

	servers          map[string]*server
	serversByName    []*server               // all servers, in order of name
	preferred        []*server               // the servers that are up, in this gateway's order of preference
	subsetSize       int                     // how many of preferred are used while all are healthy
	held             []*request              // admitted requests that wait for a server, the oldest first
	recheckAt        time.Duration           // time of the timer that tries them again
	retryBudget      float64                 // retries that may be made
	liveAttempts     float64                 // open attempts
	answers          eventRate               // rate of good answers of all servers
	classLatency     []estimate.LatencyModel // usual latency of each class
	classMix         estimate.Mix            // how often each class arrives
	topClassShortage estimate.FadingAverage  // share of the top class's requests without a server in time
	timeoutShare     float64                 // share of attempts that time out, EWMA
	meanLatency      float64                 // latency of good answers in seconds, EWMA
	meanTimeInFlight float64                 // seconds from the first attempt to the request's end, answered or not, EWMA
	admitShare       float64                 // share of requests that is admitted, by how prompt answers are
	queryExponents   []float64               // of each plan: the exponent of queryShare that gives its share
	admitExponents   []float64               // of each class: the exponent of the admission level; 1 for the top class
	planDemand       []demandEstimate        // of each plan: the demand of its customers, relative to what fits
	totalsValidFrom  []time.Duration         // of each plan: from when totals admit under a ceiling
}

// request is a client's request until it is answered and has no open attempt. While it can't have run,
// anything may be done with it; after that, only what its class allows.
type request struct {
	id                   uint64
	classIndex           int
	class                *Class    // as it was when the request arrived
	customer             *customer // nil without a plan
	units                float64   // at least 1
	arrivedAt            time.Duration
	deadline             time.Duration
	due                  time.Duration  // the latency target or, if earlier, the deadline: a later answer is late
	pendingCalls         []*counterCall // counter calls that it waits for
	quotaCounted         float64        // its units on the quota counter, including open calls
	inFlightCounted      float64        // its count on the in-flight counter, including open calls
	tokensTaken          float64        // tokens taken for it from the customer's quotaTokens
	quotaWindow          int64          // the quota window of quotaCounted
	slowStartSample      float64        // in [0,1): selects the one cold server that may take its next attempt
	isOverQuota          bool           // a total showed it to be over its quota or in-flight cap
	isPartial            bool           // its body has not wholly arrived: its times start with RequestComplete
	notReplayable        bool           // a part of its body is no longer kept, so it can't be sent again
	wasSent              bool           // it has had an attempt
	isDone               bool           // its final answer is given
	isShownUnderCeiling  bool           // a total showed room under its ceiling: it needs no ceiling tokens
	isOwnedByPredecessor bool           // the predecessor process owns it
	hasReservedTokens    bool           // ceiling tokens are reserved until the predecessor sends or ends it
	attempts             []attempt      // by attempt number
	liveAttempts         int            // open attempts
	priorServer          *server        // where it may have run first; nil while it can't have run
	priorSentAt          time.Duration  // when it was sent there
}

// attempt is one transmission of a request to a server.
type attempt struct {
	server *server
	sentAt time.Duration // reset when a partial request has wholly arrived
	isLive bool          // it has not ended
}

// server is an entry of the server list and what this gateway has seen of it.
type server struct {
	ServerEntry
	startedAt          time.Duration          // start of its warm-up; 0 means long ago
	relativeLatency    float64                // EWMA of its latency over the expected latency
	outstanding        []time.Duration        // send times of this gateway's open attempts, in order
	lastResponseAt     time.Duration          // its last answer, error or rejection
	ejectedUntil       time.Duration          // it gets no requests before this time
	failures           int                    // ejections since its last good answer
	errors             int                    // errors since its last good answer
	connectionFailures int                    // lost connections since its last good answer
	rejectShare        estimate.FadingAverage // share of its requests that it rejects
	rejectLatency      float64                // seconds until a rejection, EWMA
	throughput         eventRate              // rate of its good answers to this gateway
}

// customer is what a gateway knows of one customer. quotaTokens, the local tokens, follow the customer's
// quota as a token bucket: it fills at the plan's rate and is drained by what all gateways have added, as the
// counter's totals show. Rule SQR-073 lets the count of each window reach the allowance. Here the allowance
// is what the bucket carried into the window plus the refill since, so no double allowance passes at the edge
// of a window, and a customer does not starve after a burst.
type customer struct {
	id                uint64
	plan              *Plan
	gateways          float64       // present gateways through which it comes
	quotaCounter      windowCounter // units used; zero without a rate
	inFlightCounter   windowCounter // requests in flight
	demandCounter     windowCounter // requests that asked for a slot under the cap
	planIndex         int
	observedDemand    demandEstimate // demand through all gateways, relative to what fits
	quotaTokens       float64        // the local tokens: units left of the quota; may be negative
	ceilingTokens     float64        // units left in this gateway's part of the ceiling
	ceilingBurst      float64        // units that this part holds at most
	ceilingRate       float64        // units that this part gains each second
	ceilingTotalLimit float64        // window total up to which a request is admitted without tokens; 0: none
	isCeilingSplit    bool           // gateways, ceilingBurst, ceilingRate and ceilingTotalLimit are computed
	othersRate        float64        // units a second used through other gateways, EWMA
	predictedUsage    float64        // units predicted for other gateways since the last total
	lastSeen          time.Duration
	quotaTokensAt     time.Duration // when quotaTokens was computed
	ceilingTokensAt   time.Duration // when ceilingTokens was computed
	inFlight          int           // requests sent from here that have not ended
	inFlightCounted   float64       // this gateway's part of the in-flight counter, including open calls
	underCapShare     float64       // share of recent totals that were under the in-flight cap, EWMA
}
