package stats

import (
	"encoding/json"
	"fmt"
	"time"

	"magpiebank/internal/testbed/load/client"
)

// encodingVersion is the version of the JSON encoding below.
const encodingVersion = 1

// The JSON encoding in which metrics are sent and stored. Histograms are strings in the library's compressed encoding.
type (
	encodedMetrics struct {
		Version          int               `json:"v"`
		Classes          []encodedClass    `json:"lanes"`
		Misbehaving      encodedClass      `json:"odd"`
		Seconds          []encodedSecond   `json:"seconds"`
		GeneratorDelay   string            `json:"own"`
		QueueDelay       string            `json:"queued"`
		Violations       map[string]int64  `json:"breach"`
		Examples         map[string]uint64 `json:"example"`
		FinishedRequests map[uint64]uint64 `json:"seen,omitempty"`
	}
	encodedClass struct {
		Name             string        `json:"name"`
		LatencyObjective time.Duration `json:"quoted_ns"`
		Offered          int64         `json:"offered"`
		WithinObjective  int64         `json:"quick"`
		Attempts         int64         `json:"tries"`
		Outcomes         []string      `json:"outcomes"`
		ClosedLoop       string        `json:"closed"`
	}
	encodedSecond struct {
		Offered      int64         `json:"offered"`
		Outcomes     []int64       `json:"outcomes"`
		Worst        time.Duration `json:"worst_ns"`
		WorstRequest uint64        `json:"worst_task"`
		Latency      string        `json:"latency"`
	}
)

// MarshalJSON returns the encoding in which metrics are sent and stored.
func (m *Metrics) MarshalJSON() ([]byte, error) {
	encoded := encodedMetrics{Version: encodingVersion, Misbehaving: m.Misbehaving.encode(), GeneratorDelay: encodeHistogram(m.GeneratorDelay),
		QueueDelay: encodeHistogram(m.QueueDelay), Violations: m.Violations, Examples: m.Examples, FinishedRequests: m.finishedRequests}
	for i := range m.Classes {
		encoded.Classes = append(encoded.Classes, m.Classes[i].encode())
	}
	for i := range m.Seconds {
		second := &m.Seconds[i]
		encoded.Seconds = append(encoded.Seconds,
			encodedSecond{second.Offered, second.Outcomes[:], second.Worst, second.WorstRequest, encodeHistogram(second.latency)})
	}
	return json.Marshal(encoded)
}

func (c *ClassMetrics) encode() encodedClass {
	encoded := encodedClass{Name: c.Name, LatencyObjective: c.LatencyObjective, Offered: c.Offered, WithinObjective: c.WithinObjective,
		Attempts: c.Attempts, ClosedLoop: encodeHistogram(c.ClosedLoop)}
	for _, histogram := range c.Outcomes {
		encoded.Outcomes = append(encoded.Outcomes, encodeHistogram(histogram))
	}
	return encoded
}

// UnmarshalJSON decodes what MarshalJSON returns.
func (m *Metrics) UnmarshalJSON(content []byte) error {
	var encoded encodedMetrics
	err := json.Unmarshal(content, &encoded)
	if err != nil {
		return err
	}
	if encoded.Version != encodingVersion {
		return fmt.Errorf("figures of form %d: expected form %d", encoded.Version, encodingVersion)
	}
	*m = *New(nil, nil)
	m.Classes = make([]ClassMetrics, len(encoded.Classes))
	for i := range encoded.Classes {
		err = m.Classes[i].decode(&encoded.Classes[i])
		if err != nil {
			return err
		}
	}
	err = m.Misbehaving.decode(&encoded.Misbehaving)
	if err != nil {
		return err
	}
	err = m.decodeSeconds(encoded.Seconds)
	if err != nil {
		return err
	}
	m.GeneratorDelay, err = decodeHistogram(encoded.GeneratorDelay, significantDigits)
	if err != nil {
		return err
	}
	m.QueueDelay, err = decodeHistogram(encoded.QueueDelay, significantDigits)
	if err != nil {
		return err
	}
	if encoded.Violations != nil {
		m.Violations, m.Examples = encoded.Violations, encoded.Examples
	}
	if encoded.FinishedRequests != nil {
		m.finishedRequests = encoded.FinishedRequests
	}
	return nil
}

func (c *ClassMetrics) decode(encoded *encodedClass) (err error) {
	*c = newClassMetrics(encoded.Name, encoded.LatencyObjective)
	c.Offered, c.WithinObjective, c.Attempts = encoded.Offered, encoded.WithinObjective, encoded.Attempts
	if len(encoded.Outcomes) != len(c.Outcomes) {
		return fmt.Errorf("lane %q: expected %d outcomes, found %d", encoded.Name, len(c.Outcomes), len(encoded.Outcomes))
	}
	for outcome := range c.Outcomes {
		c.Outcomes[outcome], err = decodeHistogram(encoded.Outcomes[outcome], significantDigits)
		if err != nil {
			return err
		}
	}
	c.ClosedLoop, err = decodeHistogram(encoded.ClosedLoop, significantDigits)
	return err
}

func (m *Metrics) decodeSeconds(encoded []encodedSecond) (err error) {
	for i := range encoded {
		source := &encoded[i]
		if len(source.Outcomes) != client.OutcomeCount {
			return fmt.Errorf("second %d: expected %d outcomes, found %d", i, client.OutcomeCount, len(source.Outcomes))
		}
		second := Second{Offered: source.Offered, Worst: source.Worst, WorstRequest: source.WorstRequest}
		copy(second.Outcomes[:], source.Outcomes)
		second.latency, err = decodeHistogram(source.Latency, significantDigitsPerSecond)
		if err != nil {
			return err
		}
		m.Seconds = append(m.Seconds, second)
	}
	return nil
}
