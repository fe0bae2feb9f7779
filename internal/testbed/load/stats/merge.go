package stats

import (
	"fmt"
	"time"
)

// Merge adds the metrics of another shard. A request with an outcome in both shards counts as a ViolationTwoOutcomes.
func (m *Metrics) Merge(other *Metrics) error {
	if len(m.Classes) != len(other.Classes) {
		return fmt.Errorf("figures of %d lanes and of %d can't be merged", len(m.Classes), len(other.Classes))
	}
	for i := range m.Classes {
		if m.Classes[i].Name != other.Classes[i].Name {
			return fmt.Errorf("figures of lanes %q and %q can't be merged", m.Classes[i].Name, other.Classes[i].Name)
		}
		m.Classes[i].merge(&other.Classes[i])
	}
	m.Misbehaving.merge(&other.Misbehaving)
	for i := range other.Seconds {
		m.second(time.Duration(i) * time.Second).merge(&other.Seconds[i])
	}
	m.GeneratorDelay.Merge(other.GeneratorDelay)
	m.QueueDelay.Merge(other.QueueDelay)
	m.mergeViolations(other)
	m.mergeFinishedRequests(other)
	return nil
}

func (s *Second) merge(other *Second) {
	s.Offered += other.Offered
	for outcome := range s.Outcomes {
		s.Outcomes[outcome] += other.Outcomes[outcome]
	}
	if other.Worst > s.Worst {
		s.Worst, s.WorstRequest = other.Worst, other.WorstRequest
	}
	s.latency.Merge(other.latency)
}

func (c *ClassMetrics) merge(other *ClassMetrics) {
	c.Offered += other.Offered
	c.WithinObjective += other.WithinObjective
	c.Attempts += other.Attempts
	for outcome := range c.Outcomes {
		c.Outcomes[outcome].Merge(other.Outcomes[outcome])
	}
	c.ClosedLoop.Merge(other.ClosedLoop)
}

func (m *Metrics) mergeViolations(other *Metrics) {
	for kind, count := range other.Violations {
		if m.Violations[kind] == 0 {
			m.Examples[kind] = other.Examples[kind]
		}
		m.Violations[kind] += count
	}
}

func (m *Metrics) mergeFinishedRequests(other *Metrics) {
	for index, bitmap := range other.finishedRequests {
		inBoth := m.finishedRequests[index] & bitmap
		for bit := range uint64(64) {
			if inBoth&(1<<bit) != 0 {
				m.RecordViolation(ViolationTwoOutcomes, index*64+bit)
			}
		}
		m.finishedRequests[index] |= bitmap
	}
}
