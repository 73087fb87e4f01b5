package session

import "sync"

const (
	// retriesPerRequest is the number of retries that each request adds to the budget. It
	// bounds the load that retries add when many requests fail.
	retriesPerRequest = 0.2
	// maxRetryBalance is the balance at the start and its maximum: about the requests
	// that an instance has in flight when a primary fails.
	maxRetryBalance = 50.0
)

// RetryBudget limits retries to a fraction of the requests. It is safe for concurrent use.
// A nil budget has no limit.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: maxRetryBalance}
}

// Deposit adds the share of one request.
func (b *RetryBudget) Deposit() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxRetryBalance, b.balance+retriesPerRequest)
}

// TryWithdraw takes one retry. It reports false if none is left.
func (b *RetryBudget) TryWithdraw() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
