package caller

import "sync"

// Retry budget: each request earns a tenth of a retry. The balance starts at
// its bound, so that a failover right after the start isn't penalised.
const (
	retryBound = 100.0
	retryShare = 0.1
)

// retryBudget bounds reruns to a share of the requests.
type retryBudget struct {
	balance float64
	mu      sync.Mutex
}

func newRetryBudget() *retryBudget {
	return &retryBudget{balance: retryBound}
}

// earn counts one request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(retryBound, b.balance+retryShare)
}

// spend takes one retry, if the budget allows it.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
