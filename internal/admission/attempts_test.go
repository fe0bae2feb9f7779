package admission

import (
	"testing"
)

var attemptScripts = map[string]func() *script{
	"hopeless": func() *script { // an attempt is cancelled if, by its progress, it would time out
		d := testDeployment()
		d.SupportsCancel = true
		s := startScript(d, "e1", "e2")
		s.sendRequest("a", 1, 0, "")
		s.advanceTo(Second)
		s.HandleNotice(s.clock, "a", 0, ProgressNotice, 0.2)
		s.HandleNotice(s.clock, "a", 0, ProgressNotice, 0.1)
		s.endAttempt("a", Cancelled)
		s.sendRequest("unrepeatable", 2, 0, "")
		s.advanceTo(2 * Second)
		s.HandleNotice(s.clock, "unrepeatable", 0, ProgressNotice, 0.01)
		return s
	},
	"silence": func() *script { // notices come every 500 ms; an attempt without notices is cancelled and its request sent elsewhere
		d := testDeployment()
		d.NoticeInterval, d.SupportsCancel = 500*Millisecond, true
		s := startScript(d, "e1", "e2")
		s.engines.items[0].concurrency.limit, s.engines.items[1].concurrency.limit = 3, 3
		s.sendRequest("a", 1, 0, "")
		for _, at := range []Time{500, 1000} {
			s.advanceTo(at * Millisecond)
			s.record("note on a: it spills")
			s.HandleNotice(s.clock, "a", 0, SpillNotice, 10)
		}
		s.advanceTo(1740 * Millisecond)
		s.record("nothing since the last note")
		s.advanceTo(1760 * Millisecond)
		s.endAttempt("a", Cancelled)
		s.record("where nothing may be called off, a silent attempt runs to its timeout")
		d.SupportsCancel = false
		s.advanceTo(3700 * Millisecond)
		return s
	},
}

func TestIsHopeless(t *testing.T) {
	a := &attempt{sentAt: 0, timeoutAt: 10 * Second}
	tests := []struct {
		name     string
		progress float64
		now      Time
		want     bool
	}{
		{"half done in half of the time left for it", 0.5, 2 * Second, false},
		{"a tenth done in a second", 0.1, Second, true},
		{"a fifth done in a second", 0.2, Second, false},
		{"nothing done in a tenth of the time", 0, Second, true},
		{"all done at the end", 1, 10 * Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := isHopeless(a, test.progress, test.now); got != test.want {
				t.Errorf("isHopeless returned %t, want %t", got, test.want)
			}
		})
	}
}
