package admission

import (
	"slices"
	"testing"
)

var keyOrderScripts = map[string]func() *script{
	"order": func() *script { // one at a time per key, a cooldown after an attempt that may run; a rejection may come out of order
		d := testDeployment()
		d.KeyCooldown = 300 * Millisecond
		d.Classes[3].LatencyObjective = 5 * Second
		s := startScript(d, "e1", "e2")
		s.sendRequest("k1", 3, 0, "k")
		s.sendRequest("k2", 3, 0, "k")
		s.sendRequest("other", 3, 0, "x")
		s.endAttempt("k1", TimedOut)
		s.endAttempt("k1", Served)
		s.advanceTo(400 * Millisecond)
		s.endAttempt("k2", TimedOut)
		s.endAttempt("k2", Served)
		s.endAttempt("other", Served)
		s.record("%d keys known", len(s.keys.queues))
		s.advanceTo(800 * Millisecond)
		s.record("%d keys known", len(s.keys.queues))
		return s
	},
}

func TestKeyOrderLetsTheFirstOfEachKeyRun(t *testing.T) {
	o := newKeyOrder(&Deployment{})
	if !o.join("a", 1) || o.join("a", 2) || o.join("a", 3) || !o.join("b", 4) {
		t.Fatal("join must return true for the first request of each key only")
	}
	if _, ok := o.leave("a", 2, 0); ok {
		t.Error("leave returned a next request although the one that left wasn't first")
	}
	if next, ok := o.leave("a", 1, 0); !ok || next != 3 {
		t.Errorf("after the first request left, leave returned %d (%t), want 3", next, ok)
	}
	if _, ok := o.leave("a", 3, 0); ok {
		t.Error("leave returned a next request although none is left")
	}
	if _, known := o.queues["a"]; known {
		t.Error("a key without requests was not removed")
	}
}

func TestKeyOrderKeepsKeyUntilCooldownEnds(t *testing.T) {
	const cooldown = 300 * Millisecond
	o := newKeyOrder(&Deployment{KeyCooldown: cooldown})
	o.join("a", 1)
	o.startCooldown("a", Second)
	o.leave("a", 1, Second)
	if !o.isCoolingDown("a", Second+cooldown-1) {
		t.Error("the cooldown ended early")
	}
	if o.removeIdle(Second + cooldown - 1); len(o.queues) != 1 {
		t.Error("the key was removed during its cooldown")
	}
	if o.isCoolingDown("a", Second+cooldown) {
		t.Error("the cooldown didn't end in time")
	}
	if o.removeIdle(Second + cooldown); len(o.queues) != 0 {
		t.Error("the key was not removed after its cooldown")
	}
}

func TestKeyOrderReusesQueues(t *testing.T) {
	o := newKeyOrder(&Deployment{})
	o.join("a", 1)
	o.leave("a", 1, 0)
	if len(o.spare) != 1 {
		t.Fatalf("%d spare queues, want 1", len(o.spare))
	}
	o.join("b", 2)
	if len(o.spare) != 0 || !slices.Equal(o.queues["b"].waiting, []requestIndex{2}) {
		t.Errorf("%d spare queues, want 0; queue %v, want [2]", len(o.spare), o.queues["b"].waiting)
	}
}
