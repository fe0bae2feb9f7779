package stats

import (
	"encoding/json"
	"fmt"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

func recordRequest(metrics *Metrics, number uint64, outcome client.Outcome, at, latency time.Duration) {
	metrics.RecordOffered(at)
	metrics.RecordFinished(&client.Report{Request: &arrival.Request{Number: number, At: at}, Outcome: outcome, FinishedAt: at + latency, SentAt: at, Attempts: 1})
}

func printMetrics(metrics *Metrics) {
	class := &metrics.Classes[0]
	fmt.Printf("%d offered, %d quick, p50 %v, max %v; %d seconds, worst %v by task %d; %v\n", metrics.Total(), class.WithinObjective,
		class.Quantile(client.Served, 0.5), class.Quantile(client.Served, 1), len(metrics.Seconds), metrics.Seconds[0].Worst, metrics.Seconds[0].WorstRequest, metrics.Violations)
}

// Merges two shards. Requests in both shards, and requests in neither, are found.
func ExampleMetrics_Merge() {
	first, second := New([]string{"look"}, []time.Duration{time.Second}), New([]string{"look"}, []time.Duration{time.Second})
	for n := range uint64(100) {
		recordRequest(first, 2*n, client.Served, time.Duration(n)*10*time.Millisecond, time.Duration(n+1)*time.Millisecond)
		recordRequest(second, 2*n+1, client.Served, time.Duration(n)*10*time.Millisecond, time.Duration(n+1)*20*time.Millisecond)
	}
	recordRequest(second, 300, client.MalformedAnswer, 0, time.Second)
	recordRequest(second, 4, client.Served, 0, time.Second)
	recordRequest(second, 5, client.Served, 0, time.Second)
	text, err := json.Marshal(second)
	fmt.Println(err)
	var decoded Metrics
	fmt.Println(json.Unmarshal(text, &decoded))
	printMetrics(first)
	printMetrics(&decoded)
	fmt.Println(first.Merge(&decoded))
	first.RecordMissing(205)
	printMetrics(first)
	fmt.Println(json.Unmarshal([]byte(`{"v":2}`), &decoded), first.Merge(New(nil, nil)))
	// Output:
	// <nil>
	// <nil>
	// 100 offered, 100 quick, p50 50.015ms, max 100.031ms; 1 seconds, worst 100ms by task 198; map[]
	// 102 offered, 51 quick, p50 1.000447s, max 2.000895s; 1 seconds, worst 2s by task 199; map[a task had two outcomes:1 an answer whose rows are not whole:1]
	// <nil>
	// 202 offered, 151 quick, p50 97.023ms, max 2.000895s; 1 seconds, worst 2s by task 199; map[a task had no outcome:4 a task had two outcomes:2 an answer whose rows are not whole:1]
	// figures of form 2: expected form 1 figures of 1 lanes and of 0 can't be merged
}
