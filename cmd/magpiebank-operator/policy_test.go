package main

import (
	"encoding/json"
	"fmt"
)

// What differs between two policies, by the names of their classes.
func Example_differ() {
	var a, b any
	json.Unmarshal([]byte(`{"statements":{"classes":[{"name":"loads","threads":12},{"name":"reports","pool":"n"}],"pools":[{"name":"n","zones":["norte"]}]}}`), &a)
	json.Unmarshal([]byte(`{"statements":{"classes":[{"name":"reports","pool":"n"},{"name":"loads","threads":8,"refuse":"not now"}],"pools":[{"name":"n","zones":["sur"]},{"name":"m"}]},"policy":{"silent":"both"}}`), &b)
	for _, l := range differ("", a, b) {
		fmt.Println(l)
	}
	// Output:
	// policy: nothing -> {"silent":"both"}
	// statements.classes: order loads reports -> reports loads
	// statements.classes[loads].refuse: nothing -> "not now"
	// statements.classes[loads].threads: 12 -> 8
	// statements.pools[n].zones: ["norte"] -> ["sur"]
	// statements.pools[m]: nothing -> {"name":"m"}
}
