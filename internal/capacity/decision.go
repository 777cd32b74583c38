package capacity

import (
	"context"
	"fmt"
)

// Of a measurement of the decision module.
const (
	decisionWarm    = 2000 // requests before the first that counts
	decisionBatch   = 2000 // requests of one repeat
	decisionRepeats = 5
	decisionServers = 200  // listed where the tenants are the parameter
	decisionTenants = 1000 // that ask where the servers are
)

// decisionCost is what the module spends on a request.
type decisionCost struct {
	microseconds float64 // of processor time a request
	megabytes    float64 // of heap for the module's state
}

// measureDecision measures the module of one of 650 ingresses, each tenant of which has asked.
func measureDecision(ctx context.Context, servers, tenants int) (decisionCost, error) {
	load, heap, err := heapOf(func() (*decisionLoad, error) {
		load, err := newDecisionLoad(TargetIngresses, servers, tenants)
		for i := 0; err == nil && i < max(decisionWarm, tenants); i++ {
			load.request(decisionFill)
			err = ctx.Err()
		}
		return load, err
	})
	if err != nil {
		return decisionCost{}, err
	}
	before := load.sent
	spent := leastProcessorTime(decisionRepeats, func() {
		for range decisionBatch {
			load.request(decisionStep)
		}
	})
	if sent := load.sent - before; sent < decisionBatch*decisionRepeats*9/10 {
		return decisionCost{}, fmt.Errorf("%d of %d requests were sent on", sent, decisionBatch*decisionRepeats)
	}
	return decisionCost{float64(spent.Nanoseconds()) / 1e3 / decisionBatch, heap / 1e6}, nil
}
