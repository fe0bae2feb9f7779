package driver

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

// A coordinator's folder holds the load of its run, and workers get it as a message: earlier versions' must be read, and ours be
// readable by them. testdata/load.json was written by the version before the fields had their present names.
func TestLoadOfEarlierVersionIsReadAndWritten(t *testing.T) {
	golden, err := os.ReadFile("testdata/load.json")
	if err != nil {
		t.Fatal(err)
	}
	want := Load{
		Targets: []string{"127.0.0.1:1"},
		Shape:   &arrival.Shape{Kind: arrival.Replay, Rate: 2, Marks: []arrival.Mark{{Class: 1, Group: 2}}},
		Classes: []arrival.Class{{
			Name: "report", GatewayClass: "look", Share: 0.5, Statements: []string{"select 1"}, Groups: 3, Zipf: 1.5, Literals: 4,
			LatencyObjective: time.Second, MaxWait: 2 * time.Second, MarkRetry: true, Idempotent: true,
		}},
		Behavior: client.Behavior{
			Connections: 5, PooledShare: 0.25, HeldOpenShare: 0.125, IdleTimeout: time.Second, MaxAttempts: 3, Backoff: time.Millisecond,
			MaxBackoff: 8 * time.Millisecond, Jitter: 0.5, HonorRetryAfterProbability: 0.75, RetryRatio: 0.1, RetryBurst: 7, RetryWindow: 9 * time.Second,
			SlowShare: 0.01, LeavingShare: 0.02, SilentShare: 0.03,
		},
		Seed: 11, Length: time.Minute, Shard: 1, ShardCount: 2, Loops: 3, CheckRows: true,
	}
	decoder := json.NewDecoder(bytes.NewReader(golden))
	decoder.DisallowUnknownFields()
	var got Load
	if err := decoder.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, expected %+v", got, want)
	}
	written, err := json.MarshalIndent(want, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(written, '\n'), golden) {
		t.Errorf("encoded %s", written)
	}
}
