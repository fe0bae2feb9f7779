package stats

import (
	"encoding/json"
	"fmt"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

func over(f *Metrics, n uint64, how client.Outcome, at, latency time.Duration) {
	f.RecordOffered(at)
	f.RecordFinished(&client.Report{Request: &arrival.Request{Number: n, At: at}, Outcome: how, FinishedAt: at + latency, SentAt: at, Attempts: 1})
}

func show(f *Metrics) {
	l := &f.Classes[0]
	fmt.Printf("%d offered, %d quick, p50 %v, max %v; %d seconds, worst %v by task %d; %v\n", f.Total(), l.WithinObjective,
		l.Quantile(client.Served, 0.5), l.Quantile(client.Served, 1), len(f.Seconds), f.Seconds[0].Worst, f.Seconds[0].WorstRequest, f.Violations)
}

// Parts are merged; a request that two parts have, and one that nobody has, are found.
func ExampleMetrics_Merge() {
	one, two := New([]string{"look"}, []time.Duration{time.Second}), New([]string{"look"}, []time.Duration{time.Second})
	for n := range uint64(100) {
		over(one, 2*n, client.Served, time.Duration(n)*10*time.Millisecond, time.Duration(n+1)*time.Millisecond)
		over(two, 2*n+1, client.Served, time.Duration(n)*10*time.Millisecond, time.Duration(n+1)*20*time.Millisecond)
	}
	over(two, 300, client.MalformedAnswer, 0, time.Second)
	over(two, 4, client.Served, 0, time.Second)
	over(two, 5, client.Served, 0, time.Second)
	text, err := json.Marshal(two)
	fmt.Println(err)
	var read Metrics
	fmt.Println(json.Unmarshal(text, &read))
	show(one)
	show(&read)
	fmt.Println(one.Merge(&read))
	one.RecordMissing(205)
	show(one)
	fmt.Println(json.Unmarshal([]byte(`{"v":2}`), &read), one.Merge(New(nil, nil)))
	// Output:
	// <nil>
	// <nil>
	// 100 offered, 100 quick, p50 50.015ms, max 100.031ms; 1 seconds, worst 100ms by task 198; map[]
	// 102 offered, 51 quick, p50 1.000447s, max 2.000895s; 1 seconds, worst 2s by task 199; map[a task had two outcomes:1 an answer whose rows are not whole:1]
	// <nil>
	// 202 offered, 151 quick, p50 97.023ms, max 2.000895s; 1 seconds, worst 2s by task 199; map[a task had no outcome:4 a task had two outcomes:2 an answer whose rows are not whole:1]
	// figures of form 2: expected form 1 figures of 1 lanes and of 0 can't be merged
}
