package client

import "time"

// budgetBuckets is how many buckets the retry budget's window has.
const budgetBuckets = 10

// retryBudget counts first attempts and retries over a sliding window, in buckets of a tenth of it.
type retryBudget struct {
	span            time.Duration // length of the window; 0: retries are not limited
	current         int64         // number of the current bucket, counted from the start of the run
	firsts, retries [budgetBuckets]int
}

// advance empties the buckets that have left the window.
func (b *retryBudget) advance(now time.Duration) {
	if b.span <= 0 {
		return
	}
	current := int64(now / max(1, b.span/budgetBuckets))
	for bucket := max(b.current+1, current-budgetBuckets+1); bucket <= current; bucket++ {
		b.firsts[bucket%budgetBuckets], b.retries[bucket%budgetBuckets] = 0, 0
	}
	b.current = max(b.current, current)
}

func (b *retryBudget) recordFirst(now time.Duration) {
	b.advance(now)
	b.firsts[b.current%budgetBuckets]++
}

func (b *retryBudget) recordRetry(now time.Duration) {
	b.advance(now)
	b.retries[b.current%budgetBuckets]++
}

// allows tells whether one more retry fits into the budget: ratio of the first attempts in the window, and burst.
func (b *retryBudget) allows(now time.Duration, ratio float64, burst int) bool {
	if b.span <= 0 {
		return true
	}
	b.advance(now)
	firsts, retries := 0, 0
	for bucket := range b.firsts {
		firsts += b.firsts[bucket]
		retries += b.retries[bucket]
	}
	return float64(retries+1) <= ratio*float64(firsts)+float64(burst)
}
