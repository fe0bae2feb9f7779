package admission

// retrySpans is the number of spans that the retry budget's window is divided into. The budget stores one more span, so that
// complete spans cover the window.
const retrySpans = 50

// retryBudget allows a fixed number of retries plus a share of the requests received, in any window of a given length.
type retryBudget struct {
	burst  float64
	ratio  float64
	window Time
	spans  []retrySpan // nil: there is no budget
}

// retrySpan counts the requests and retries in one span of the window.
type retrySpan struct {
	index    Time // number of the span, counted from the clock's zero
	requests float64
	retries  float64
}

func newRetryBudget(d *Deployment) retryBudget {
	b := retryBudget{burst: d.RetryBurst, ratio: d.RetryRatio, window: d.RetryWindow}
	if d.RetryWindow > 0 {
		b.spans = make([]retrySpan, retrySpans+1)
	}
	return b
}

// current returns the current span, or nil if there is no budget.
func (b *retryBudget) current(now Time) *retrySpan {
	if b.spans == nil {
		return nil
	}
	index := now / (b.window/retrySpans + 1)
	span := &b.spans[index%(retrySpans+1)]
	if span.index != index {
		*span = retrySpan{index: index}
	}
	return span
}

// inWindow returns the counts for the window that ends in the given span: the requests that are certainly within the window, and
// the retries that may be.
func (b *retryBudget) inWindow(last *retrySpan) (requests, retries float64) {
	for i := range b.spans {
		span := &b.spans[i]
		if span.index >= last.index-retrySpans {
			retries += span.retries
			if span.index > last.index-retrySpans+1 {
				requests += span.requests
			}
		}
	}
	return requests, retries
}

// countRequest counts a request that the gateway received.
func (b *retryBudget) countRequest(now Time) {
	if span := b.current(now); span != nil {
		span.requests++
	}
}

// countRetry counts a retry.
func (b *retryBudget) countRetry(now Time) {
	if span := b.current(now); span != nil {
		span.retries++
	}
}

// allows reports whether one more retry is within the budget. It never allows too many, because it counts all retries that may be
// within the window, but only the requests that certainly are.
func (b *retryBudget) allows(now Time) bool {
	last := b.current(now)
	if last == nil {
		return true
	}
	requests, retries := b.inWindow(last)
	return retries+1 <= b.burst+b.ratio*requests
}

// restore sets a span to the counts of an earlier process.
func (b *retryBudget) restore(span retrySpan) {
	if b.spans != nil {
		b.spans[span.index%(retrySpans+1)] = span
	}
}

// exhaust uses up the budget as of now.
func (b *retryBudget) exhaust(now Time) {
	if span := b.current(now); span != nil {
		requests, retries := b.inWindow(span)
		span.retries += max(0, b.burst+b.ratio*requests-retries)
	}
}

// allowsAttempt checks the rules that don't depend on the engine: one attempt at a time, no attempt after the deadline or after the
// client has disconnected, the maximum number of attempts, the limits of the policy class, the order of requests with a key,
// repeats, and the retry budget.
func (c *Controller) allowsAttempt(request *activeRequest) bool {
	if request.attempt.inFlight || request.abandoned || c.now >= request.deadline || c.usedUpAttempts(request) {
		return false
	}
	threads := float64(c.deployment.Classes[request.class].Threads)
	if request.estimate.PolicyClass > 0 && !c.pools.policy.AllowsAttempt(c.now, request.estimate.PolicyClass, threads) {
		return false
	}
	if request.orderKey != "" {
		isFirst := c.requests.at(c.keys.first(request.orderKey)).id == request.id
		if !isFirst || c.keys.isCoolingDown(request.orderKey, c.now) && request.attempts == 0 {
			return false
		}
	}
	return c.allowsRepeat(request) && (request.attempts == 0 || c.retries.allows(c.now))
}

// usedUpAttempts reports whether a request has had the maximum number of attempts.
func (c *Controller) usedUpAttempts(request *activeRequest) bool {
	return c.deployment.MaxAttempts > 0 && request.attempts >= c.deployment.MaxAttempts
}

// allowsRepeat reports whether the request's class allows an attempt on some engine. After two errors, a request that may have run
// is not repeated, because the request itself is at fault.
func (c *Controller) allowsRepeat(request *activeRequest) bool {
	if !request.prior.MayHaveRun {
		return true
	}
	if request.errors >= 2 {
		return false
	}
	class := &c.deployment.Classes[request.class]
	return class.RepeatEffect == Idempotent ||
		class.RepeatEffect == Deduplicated && c.now < request.prior.SentAt+class.DedupWindow
}
