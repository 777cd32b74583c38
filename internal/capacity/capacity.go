// Package capacity measures how the state, messages, processor time and memory of each role of the system grow
// with the one size that drives them, fits a model to the points, and compares the value at the target size with
// its budget. The measurers run the real code; where a part is replaced by a stand-in, the measurement names it.
// The package also generates the tables of the capacity page from the recorded measurements.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
)

// Role is a part of the system whose capacity is measured.
type Role string

// The roles, as they stand in the data file and in the markers of the page.
const (
	RoleRequestPath     Role = "request-path"     // an ingress, serving requests
	RoleIngressControl  Role = "ingress-control"  // an ingress, following the control plane
	RoleDiscovery       Role = "discovery"        // the service that lists upstream hosts
	RoleCounter         Role = "counter"          // the service that holds joint numbers
	RoleOrderServers    Role = "order-servers"    // the upstream hosts
	RoleControlMachines Role = "control-machines" // the machines set aside for control
	RoleReplacement     Role = "replacement"      // machines that fail, restart or are replaced
)

// Roles returns all roles in the order of the page.
func Roles() []Role {
	return []Role{RoleRequestPath, RoleIngressControl, RoleDiscovery, RoleCounter, RoleOrderServers,
		RoleControlMachines, RoleReplacement}
}

// The target system, as the operators state it.
const (
	TargetIngresses   = 650
	TargetServers     = 7200
	TargetServices    = 210
	TargetRequestRate = 82000 // a second, all ingresses together, at the peak
	TargetRoutes      = 11000
	TargetTenants     = 24000
	TargetRegions     = 3
	TargetZones       = 7
	ChangesADay       = 810
	FailuresADay      = 29
	ReplacementsADay  = 760 // restarted or replaced
)

// The operators' budgets. The three of control are for each ingress, averaged over 10 s.
const (
	BudgetAddedP99MS         = 2.6   // added to a request, 99th percentile
	BudgetInForceS           = 3.0   // a configuration change, everywhere
	BudgetControlCPUShare    = 0.013 // of a core
	BudgetControlMemoryMB    = 32.0  // 10^6 bytes each
	BudgetControlBytesPerS   = 21e3  // sent and received together
	BudgetControlMachines    = 3.0   // machines set aside for control
	BudgetAverageIntervalSec = 10.0  // the budgets are averages over this
)

// Measurer measures one quantity at several sizes of the parameter that drives it.
type Measurer struct {
	Role      Role
	Quantity  string // what is measured, unique in its role, in lower-case words
	Unit      string
	Parameter string // what Sizes counts, such as "servers in the list"
	Sizes     []int  // at least four, ascending
	Target    float64
	Budget    *float64 // in Unit; nil where none is given
	Cap       float64  // a value that means "not within this"; 0: none does
	Standin   string   // what stands in for a real part, and what that may change; empty: real code throughout
	Mechanism string   // what carries the quantity at the target: existing, with its file, or "missing: " and its name

	// Measure returns the value in Unit at a size. It repeats a noisy reading itself and returns the least.
	Measure func(ctx context.Context, size int) (float64, error)
}

// Budget returns a pointer to a budget, for the literal of a Measurer.
func Budget(limit float64) *float64 { return &limit }

// Point is the value measured at one size. In JSON it is the pair [size, value].
type Point struct {
	Size  float64
	Value float64
}

// MarshalJSON writes the pair [size, value].
func (p Point) MarshalJSON() ([]byte, error) { return json.Marshal([2]float64{p.Size, p.Value}) }

// UnmarshalJSON reads the pair [size, value].
func (p *Point) UnmarshalJSON(raw []byte) error {
	var pair []float64
	if err := json.Unmarshal(raw, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return fmt.Errorf("a point has %d numbers, not 2", len(pair))
	}
	p.Size, p.Value = pair[0], pair[1]
	return nil
}

// Measurement is a quantity as measured: one line of the data file.
type Measurement struct {
	Role      Role     `json:"role"`
	Quantity  string   `json:"quantity"`
	Unit      string   `json:"unit"`
	Parameter string   `json:"parameter"`
	Points    []Point  `json:"points"`
	Model     Model    `json:"model"`
	Slope     float64  `json:"slope"`
	Intercept float64  `json:"intercept"`
	R2        float64  `json:"r2"`
	Target    float64  `json:"target"`    // size at the target
	AtTarget  float64  `json:"at_target"` // measured where Target is among the sizes, else the model's value
	Budget    *float64 `json:"budget"`
	Within    *bool    `json:"within"` // nil where there is no budget
	Cap       float64  `json:"cap,omitempty"`
	Standin   string   `json:"standin,omitempty"`
	Mechanism string   `json:"mechanism"`
}

// Run measures one after the other and hands each result to emit. It ends with the first error.
func Run(ctx context.Context, measurers []Measurer, emit func(Measurement) error) error {
	for _, measurer := range measurers {
		measurement, err := measurer.run(ctx)
		if err != nil {
			return fmt.Errorf("%s, %s: %w", measurer.Role, measurer.Quantity, err)
		}
		if err := emit(measurement); err != nil {
			return err
		}
	}
	return nil
}

// run measures at every size and fits a model to the points.
func (m Measurer) run(ctx context.Context) (Measurement, error) {
	result := Measurement{Role: m.Role, Quantity: m.Quantity, Unit: m.Unit, Parameter: m.Parameter, Target: m.Target,
		Budget: m.Budget, Cap: m.Cap, Standin: m.Standin, Mechanism: m.Mechanism}
	for _, size := range m.Sizes {
		if err := ctx.Err(); err != nil {
			return result, err
		}
		value, err := m.Measure(ctx, size)
		if err != nil {
			return result, fmt.Errorf("at %d %s: %w", size, m.Parameter, err)
		}
		result.Points = append(result.Points, Point{Size: float64(size), Value: significant(value)})
	}
	result.Model, result.Slope, result.Intercept, result.R2 = Fit(result.Points)
	result.Slope, result.Intercept, result.R2 = significant(result.Slope), significant(result.Intercept), significant(result.R2)
	result.AtTarget = significant(result.valueAt(m.Target))
	if m.Budget != nil {
		within := result.AtTarget <= *m.Budget
		result.Within = &within
	}
	return result, nil
}

// capped tells whether a value means "not within this".
func (m Measurement) capped(value float64) bool { return m.Cap > 0 && value >= m.Cap }

// valueAt is the value measured at a size, or the model's where it was not measured.
func (m Measurement) valueAt(size float64) float64 {
	for _, point := range m.Points {
		if point.Size == size {
			return point.Value
		}
	}
	return m.Model.At(size, m.Slope, m.Intercept)
}
