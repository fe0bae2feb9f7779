package admission

import (
	"testing"
)

var endpointScripts = map[string]func() *script{
	"lists": func() *script { // drains at once; an old list; what a full list lacks is gone; a failure keeps it
		s := startScript(testDeployment(), "e1", "e2", "e3")
		s.updateList(PartialUpdate, Endpoint{Engine: "e1", State: Draining}, Endpoint{Engine: "e2", State: Gone})
		s.engines.items[2].limit.bound = 0
		s.sendRequest("a", 0, 0, "")
		s.record("the guard lets a go to e1: %t", s.sendAttempt(s.requests.byID["a"], 0))
		s.updateList(FullUpdate, Endpoint{Engine: "e1"})
		s.updateList(FailedPoll)
		s.advanceTo(20 * Second)
		s.updateList(PartialUpdate, Endpoint{Engine: "e1", StartedAt: 19 * Second})
		return s
	},
	"asked list": func() *script { // a call that failed is made again a second later, not at once
		d := testDeployment()
		d.PollsEndpoints = true
		s := startScript(d, "e1")
		s.updateList(FailedPoll)
		s.advanceTo(3 * Second)
		return s
	},
}

func TestEngineTableUsesPlacesAgain(t *testing.T) {
	tests := []struct {
		name string
		old  func(e *engineState)
		want bool // its place is used again
	}{
		{"of an engine that is gone", func(e *engineState) { e.State = Gone }, true},
		{"not of a live one", func(*engineState) {}, false},
		{"not while an attempt runs there", func(e *engineState) { e.State, e.limit.running = Gone, 1 }, false},
		{"not while it is probed", func(e *engineState) { e.State, e.probe.inFlight = Gone, true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newEngineTable()
			first := table.add("old")
			table.at(first).Endpoint = Endpoint{Engine: "old"}
			test.old(table.at(first))
			if got := table.add("new") == first; got != test.want {
				t.Errorf("used again: %t, want %t", got, test.want)
			}
			if _, known := table.byName["old"]; known == test.want {
				t.Errorf("the old engine is known: %t", known)
			}
		})
	}
}
