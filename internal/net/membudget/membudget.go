// Package membudget accounts for the memory that the connections of a process hold together: input, bodies, unsent output
// and what waits between two connections. It belongs to the event loop's goroutine, does no input or output and never
// blocks: its users ask whether there is room and decide themselves who waits or is refused.
package membudget

// Budget is the memory, in bytes, for all accounts together. A nil budget has no limit.
type Budget struct {
	limit, held int
}

// Level tells how much of a budget is held.
type Level int

// The levels, in their order.
const (
	Ample     Level = iota
	Tight           // what can wait or be relayed in small parts gets no more
	Exhausted       // nothing gets any more
)

// A budget is tight from tightNumerator/tightDenominator of its limit on. The rest is for the heads of requests, which have
// to be read before anything can be decided on them.
const tightNumerator, tightDenominator = 2, 3

// New returns a budget of the given size.
func New(limit int) *Budget { return &Budget{limit: limit} }

// SetLimit changes the size. What is held beyond it stays with its holders until they release it.
func (b *Budget) SetLimit(limit int) {
	if b != nil {
		b.limit = limit
	}
}

// Limit returns the size, 0 without a limit.
func (b *Budget) Limit() int {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns what all accounts hold.
func (b *Budget) Held() int {
	if b == nil {
		return 0
	}
	return b.held
}

// Level returns the level that the budget would have if the given number of bytes more were held.
func (b *Budget) Level(more int) Level {
	switch {
	case b == nil || b.limit <= 0 || b.held+more <= b.limit/tightDenominator*tightNumerator:
		return Ample
	case b.held+more <= b.limit:
		return Tight
	}
	return Exhausted
}

// Account is what one holder has of a budget. The zero account belongs to no budget.
type Account struct {
	budget *Budget
	held   int
}

// Open returns an empty account.
func (b *Budget) Open() Account { return Account{budget: b} }

// Set makes the account hold the given number of bytes.
func (a *Account) Set(bytes int) {
	if a.budget != nil {
		a.budget.held += bytes - a.held
	}
	a.held = bytes
}

// Held returns what the account holds.
func (a *Account) Held() int { return a.held }
