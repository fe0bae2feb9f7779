package client

import "time"

// budgetBuckets is the number of buckets in the window of a retry budget.
const budgetBuckets = 10

// retryBudget counts first attempts and retries in a sliding window, which is divided into budgetBuckets buckets.
type retryBudget struct {
	window                 time.Duration      // length of the window; 0: retries are not limited
	currentBucket          int64              // number of the current bucket, counted from the start of the run
	firstAttempts, retries [budgetBuckets]int // by bucket number modulo budgetBuckets
}

// advance moves the window to now and clears the buckets that have left the window.
func (b *retryBudget) advance(now time.Duration) {
	if b.window <= 0 {
		return
	}
	current := int64(now / max(1, b.window/budgetBuckets))
	for bucket := max(b.currentBucket+1, current-budgetBuckets+1); bucket <= current; bucket++ {
		b.firstAttempts[bucket%budgetBuckets], b.retries[bucket%budgetBuckets] = 0, 0
	}
	b.currentBucket = max(b.currentBucket, current)
}

func (b *retryBudget) recordFirstAttempt(now time.Duration) {
	b.advance(now)
	b.firstAttempts[b.currentBucket%budgetBuckets]++
}

func (b *retryBudget) recordRetry(now time.Duration) {
	b.advance(now)
	b.retries[b.currentBucket%budgetBuckets]++
}

// allows reports whether the budget permits one more retry. In each window, it permits burst retries plus ratio times
// the number of first attempts.
func (b *retryBudget) allows(now time.Duration, ratio float64, burst int) bool {
	if b.window <= 0 {
		return true
	}
	b.advance(now)
	firstAttempts, retries := 0, 0
	for bucket := range b.firstAttempts {
		firstAttempts += b.firstAttempts[bucket]
		retries += b.retries[bucket]
	}
	return float64(retries+1) <= ratio*float64(firstAttempts)+float64(burst)
}
