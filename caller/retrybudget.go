package caller

import "sync"

// Retry budget: each request adds a tenth of a retry to the balance. The balance
// starts at its maximum, so that reruns are possible in a failover right after the
// start.
const (
	maxRetryBalance   = 100.0
	retriesPerRequest = 0.1
)

// retryBudget limits reruns to a fraction of the requests.
type retryBudget struct {
	balance float64
	mu      sync.Mutex
}

func newRetryBudget() *retryBudget {
	return &retryBudget{balance: maxRetryBalance}
}

// deposit adds the share of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxRetryBalance, b.balance+retriesPerRequest)
}

// tryWithdraw takes one retry from the balance. It reports false if the balance is
// too low.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
