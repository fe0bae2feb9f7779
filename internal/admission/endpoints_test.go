package admission

import (
	"testing"
)

var endpointScripts = map[string]func() *script{
	"lists": func() *script { // draining takes effect at once; an engine missing from a full list is gone; a failed poll changes nothing
		s := startScript(testDeployment(), "e1", "e2", "e3")
		s.updateList(PartialUpdate, Endpoint{Engine: "e1", State: Draining}, Endpoint{Engine: "e2", State: Gone})
		s.engines.items[2].concurrency.limit = 0
		s.sendRequest("a", 0, 0, "")
		s.record("the guard lets a go to e1: %t", s.sendAttempt(s.requests.byID["a"], 0))
		s.updateList(FullUpdate, Endpoint{Engine: "e1"})
		s.updateList(FailedPoll)
		s.advanceTo(20 * Second)
		s.updateList(PartialUpdate, Endpoint{Engine: "e1", StartedAt: 19 * Second})
		return s
	},
	"asked list": func() *script { // a failed poll is repeated a second later, not at once
		d := testDeployment()
		d.PollsEndpoints = true
		s := startScript(d, "e1")
		s.updateList(FailedPoll)
		s.advanceTo(3 * Second)
		return s
	},
}

func TestEngineTableReusesEntries(t *testing.T) {
	tests := []struct {
		name string
		old  func(e *engineState)
		want bool // the entry of the old engine is reused
	}{
		{"of an engine that is gone", func(e *engineState) { e.State = Gone }, true},
		{"not of a live one", func(*engineState) {}, false},
		{"not while an attempt runs there", func(e *engineState) { e.State, e.concurrency.running = Gone, 1 }, false},
		{"not while it is probed", func(e *engineState) { e.State, e.probe.inFlight = Gone, true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newEngineTable()
			first := table.add("old")
			table.at(first).Endpoint = Endpoint{Engine: "old"}
			test.old(table.at(first))
			if got := table.add("new") == first; got != test.want {
				t.Errorf("entry reused: %t, want %t", got, test.want)
			}
			if _, known := table.byName["old"]; known == test.want {
				t.Errorf("the old engine's ID is in the table: %t; it must be there exactly if its entry isn't reused", known)
			}
		})
	}
}
