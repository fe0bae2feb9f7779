package main

import (
	"encoding/json"
	"fmt"
)

// Classes and pools are matched by name, not by position.
func Example_listDifferences() {
	decode := func(text string) (value any) {
		if err := json.Unmarshal([]byte(text), &value); err != nil {
			fmt.Println(err)
		}
		return value
	}
	a := decode(`{"statements":{"classes":[{"name":"loads","threads":12},{"name":"reports","pool":"n"}],"pools":[{"name":"n","zones":["norte"]}]}}`)
	b := decode(`{"statements":{"classes":[{"name":"reports","pool":"n"},{"name":"loads","threads":8,"refuse":"not now"}],"pools":[{"name":"n","zones":["sur"]},{"name":"m"}]},"policy":{"silent":"both"}}`)
	for _, line := range listDifferences("", a, b) {
		fmt.Println(line)
	}
	// Output:
	// policy: nothing -> {"silent":"both"}
	// statements.classes: order loads reports -> reports loads
	// statements.classes[loads].refuse: nothing -> "not now"
	// statements.classes[loads].threads: 12 -> 8
	// statements.pools[n].zones: ["norte"] -> ["sur"]
	// statements.pools[m]: nothing -> {"name":"m"}
}
