package counters

// Range is an interval. A High below 0 is not bounded.
type Range struct{ Low, High int64 }

func (r *Range) add(o Range) {
	r.Low += o.Low
	if r.High >= 0 && o.High >= 0 {
		r.High += o.High
	} else {
		r.High = -1
	}
}

// KeyCounts is what is known of a key.
type KeyCounts struct {
	Key
	Ranges [figureCount]Range // by figure
}

func (k *KeyCounts) add(ranges [figureCount]Range) {
	for figure := range k.Ranges {
		k.Ranges[figure].add(ranges[figure])
	}
}

// Reading is what is known of the fleet as of one instant.
type Reading struct {
	Age     Time // of that instant
	Known   int  // processes whose counts are known for it, this one among them
	Unknown int  // processes that may have had anything, up to the most that one has in flight
	Counts  []KeyCounts
}

// TakeReading reads some keys, as of the latest instant that all processes that reported lately cover.
func (c *Core) TakeReading(now Time, keys ...Key) Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	t := c.commonInstant()
	silent := max(0, c.options.MaxProcesses-1-len(c.peers)) // processes of which nothing was ever received
	out := Reading{Age: c.now - t, Known: 1, Unknown: len(c.ended) + silent}
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
		for range silent {
			counts.add(unknownRanges(c.options.MaxInFlight, 0)) // all have the same program and settings
		}
		out.Counts = append(out.Counts, counts)
	}
	return out
}

// commonInstant returns the latest instant that all processes that reported lately cover.
func (c *Core) commonInstant() Time {
	recent := reportedWindow(len(c.peers))
	t := c.now
	for i := range c.peers {
		p := &c.peers[i]
		if p.offset.leastKnown && !p.stopped && c.now-p.receivedAt < recent {
			t = min(t, p.latestCovered(c.now))
		}
	}
	return max(t, c.slots.oldest())
}

// latestCovered returns the last instant that a peer's report surely covers. The least offset must be known.
func (p *peer) latestCovered(now Time) Time {
	const rounding = 2
	t := p.report.until + p.offset.least
	return t - (max(0, now-p.offset.leastAt)+max(0, now-t))/driftDivisor - rounding
}

// covers reports whether a peer's report surely covers an instant.
func (p *peer) covers(t Time) bool {
	if trustOldCounts {
		return true
	}
	return p.offset.leastKnown && p.beginsBy(t) && t-p.offset.leastFor(t) <= p.report.until
}

// beginsBy reports whether the time that a peer's report covers surely begins by an instant.
func (p *peer) beginsBy(t Time) bool {
	return t-p.offset.mostFor(t) >= p.report.until-p.report.length
}

// rangesAt returns a key's bounds at an instant: as they were reported if the report covers it, else all that may be.
func (p *peer) rangesAt(t Time, hash uint32, covered bool) [figureCount]Range {
	reported := p.report.rangesOf(hash)
	if covered {
		return reported
	}
	attempted := int64(0)
	if p.beginsBy(t) { // attempts never become fewer
		attempted = reported[Attempted].Low
	}
	return unknownRanges(p.report.maxInFlight, attempted)
}

// rangesOf returns a key's bounds as they were reported. A key that was not is 0, if all were.
func (r *report) rangesOf(hash uint32) [figureCount]Range {
	for i := range r.counts {
		if r.counts[i].hash == hash {
			return r.counts[i].ranges
		}
	}
	if !r.complete {
		return unknownRanges(r.maxInFlight, 0)
	}
	return [figureCount]Range{}
}

// unknownRanges returns all that a process may have that is not known of.
func unknownRanges(maxInFlight, attempted int64) [figureCount]Range {
	if maxInFlight == 0 {
		maxInFlight = -1
	}
	return [figureCount]Range{{0, maxInFlight}, {0, maxInFlight}, {attempted, -1}}
}
