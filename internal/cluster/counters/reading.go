package counters

// Range is an interval. A High below 0 means that there is no upper limit.
type Range struct{ Low, High int64 }

func (r *Range) add(o Range) {
	r.Low += o.Low
	if r.High >= 0 && o.High >= 0 {
		r.High += o.High
	} else {
		r.High = -1
	}
}

// KeyCounts holds the intervals of a key's counts over the whole cluster.
type KeyCounts struct {
	Key
	Ranges [metricCount]Range // by metric
}

func (k *KeyCounts) add(ranges [metricCount]Range) {
	for metric := range k.Ranges {
		k.Ranges[metric].add(ranges[metric])
	}
}

// Reading holds the counts of the whole cluster at one instant.
type Reading struct {
	Age     Time // age of that instant
	Known   int  // number of processes whose counts at that instant are known, including this one
	Unknown int  // number of processes that may have had any number of requests, up to the maximum in flight at one process
	Counts  []KeyCounts
}

// TakeReading reads the counts of some keys at the latest instant that the reports of all processes that reported recently cover.
func (c *Core) TakeReading(now Time, keys ...Key) Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	t := c.commonInstant()
	neverReported := max(0, c.options.MaxProcesses-1-len(c.peers)) // number of processes that no report was received from
	out := Reading{Age: c.now - t, Known: 1, Unknown: len(c.ended) + neverReported}
	covered := make([]bool, len(c.peers))
	for i := range c.peers {
		covered[i] = c.peers[i].stopped || c.peers[i].covers(t)
		if covered[i] {
			out.Known++
		} else {
			out.Unknown++
		}
	}
	for _, key := range keys {
		counts := KeyCounts{Key: key, Ranges: c.ownRanges(c.counterOf(key), t, t)}
		hash := key.hash()
		for i := range c.peers {
			counts.add(c.peers[i].rangesAt(t, hash, covered[i]))
		}
		for i := range c.ended {
			counts.add(unknownRanges(c.ended[i].maxInFlight, 0))
		}
		for range neverReported {
			counts.add(unknownRanges(c.options.MaxInFlight, 0)) // all processes run the same program with the same settings
		}
		out.Counts = append(out.Counts, counts)
	}
	return out
}

// commonInstant returns the latest instant that the reports of all processes that reported recently cover.
func (c *Core) commonInstant() Time {
	recent := reportedWindow(len(c.peers))
	t := c.now
	for i := range c.peers {
		p := &c.peers[i]
		if p.offset.minOffsetKnown && !p.stopped && c.now-p.receivedAt < recent {
			t = min(t, p.latestCovered(c.now))
		}
	}
	return max(t, c.slots.oldest())
}

// latestCovered returns the last instant that a peer's report certainly covers. The minimum clock offset must be known.
func (p *peer) latestCovered(now Time) Time {
	const rounding = 2
	t := p.report.until + p.offset.minOffset
	return t - (max(0, now-p.offset.minOffsetTime)+max(0, now-t))/driftDivisor - rounding
}

// covers reports whether a peer's report certainly covers an instant.
func (p *peer) covers(t Time) bool {
	if trustOldCounts {
		return true
	}
	return p.offset.minOffsetKnown && p.windowBeginsBy(t) && t-p.offset.minAt(t) <= p.report.until
}

// windowBeginsBy reports whether the window of a peer's report certainly begins at or before an instant.
func (p *peer) windowBeginsBy(t Time) bool {
	return t-p.offset.maxAt(t) >= p.report.until-p.report.length
}

// rangesAt returns a key's bounds at an instant. They are the reported bounds if the report covers the instant, and otherwise the widest
// bounds that are possible.
func (p *peer) rangesAt(t Time, hash uint32, covered bool) [metricCount]Range {
	reported := p.report.rangesOf(hash)
	if covered {
		return reported
	}
	attempted := int64(0)
	if p.windowBeginsBy(t) { // the number of attempts never decreases
		attempted = reported[Attempted].Low
	}
	return unknownRanges(p.report.maxInFlight, attempted)
}

// rangesOf returns the reported bounds of a key. For a key that was not reported, they are 0 if the report is complete, and unknown
// otherwise.
func (r *report) rangesOf(hash uint32) [metricCount]Range {
	for i := range r.counts {
		if r.counts[i].hash == hash {
			return r.counts[i].ranges
		}
	}
	if !r.complete {
		return unknownRanges(r.maxInFlight, 0)
	}
	return [metricCount]Range{}
}

// unknownRanges returns the widest possible bounds of a process's counts. A maxInFlight of 0 means that there is no limit.
func unknownRanges(maxInFlight, attempted int64) [metricCount]Range {
	if maxInFlight == 0 {
		maxInFlight = -1
	}
	return [metricCount]Range{{0, maxInFlight}, {0, maxInFlight}, {attempted, -1}}
}
