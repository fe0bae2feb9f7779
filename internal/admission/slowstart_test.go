package admission

import (
	"slices"
	"testing"
)

var slowStartScripts = map[string]func() *script{
	"cold": func() *script { // without a warm engine, every other span belongs to one gateway, within the budget
		d := testDeployment()
		d.Gateways, d.WarmUpTime = 3, 30*Second
		s := startScript(d)
		s.advanceTo(Second)
		s.updateList(CachedUpdate, Endpoint{Engine: "cold", StartedAt: Second})
		e := &s.engines.items[0]
		s.estimates.classes[0].work, s.estimates.classes[0].requests = float64(300*Millisecond), 20
		for range 13 {
			s.now = s.clock
			for d.GatewayIndex = range 3 {
				if s.hasSlowStartCapacity(e, &activeRequest{class: 0}) {
					s.record("gateway %d has its turn; more work than its budget: %t", d.GatewayIndex, s.hasSlowStartCapacity(e, &activeRequest{class: 1}))
				}
			}
			s.clock += 500 * Millisecond
		}
		s.record("warm: %t", !s.slowStart.isWarmingUp(e, s.now))
		return s
	},
	"cold beside warm": func() *script { // the budget's shares, each enough for a usual request, rotate among the gateways
		d := testDeployment()
		d.Gateways, d.WarmUpTime, d.CoresByKind = 5, 30*Second, []float64{16}
		s := startScript(d, "warm")
		s.advanceTo(Second)
		s.updateList(PartialUpdate, Endpoint{Engine: "cold", StartedAt: Second})
		s.advanceTo(Second + tickInterval)
		e := &s.engines.items[1]
		s.estimates.classes[0].work, s.estimates.classes[0].requests = float64(300*Millisecond), 20
		for range 6 {
			s.now = s.clock
			var owners []int
			for d.GatewayIndex = range 5 {
				if s.hasSlowStartCapacity(e, &activeRequest{class: 0}) {
					owners = append(owners, d.GatewayIndex)
				}
			}
			s.record("gateways %v have their turn", owners)
			s.clock += d.WarmUpOverloadTime
		}
		d.GatewayIndex = 0
		for !s.hasSlowStartCapacity(e, &activeRequest{class: 0}) {
			s.now += d.WarmUpOverloadTime
		}
		sent := 0
		for ; s.hasSlowStartCapacity(e, &activeRequest{class: 0}); sent++ {
			e.slowStartUse.work += 300 * float64(Millisecond)
		}
		s.record("gateway 0 sends %d of 300 ms in its turn", sent)
		e.slowStartUse.work = 0
		s.record("a request of 1.5 s, above a part: %t beside a warm engine",
			s.hasSlowStartCapacity(e, &activeRequest{class: 0, estimate: Estimate{WorkP90: 1500 * Millisecond}}))
		return s
	},
}

// gatewaysWithShare returns the number of shares of a span's budget, on which all gateways must agree, and the gateways that have one.
func gatewaysWithShare(t *testing.T, gateways int, span Time, usualRequests int, anyWarm bool) (shares Time, owners []int) {
	t.Helper()
	for gateway := range gateways {
		s := slowStart{deployment: &Deployment{Gateways: gateways, GatewayIndex: gateway}}
		own, ours := s.shares(&engineState{hash: 77}, span, usualRequests, anyWarm)
		if gateway > 0 && own != shares {
			t.Fatalf("gateway %d computes %d shares of span %d, the gateways before it %d", gateway, own, span, shares)
		}
		shares = own
		if ours {
			owners = append(owners, gateway)
		}
	}
	return shares, owners
}

func TestSlowStartGivesEachShareOfASpanToOneGateway(t *testing.T) {
	tests := []struct {
		name                    string
		gateways, usualRequests int
		anyWarm                 bool
		shares                  Time // expected shares of an even span
	}{
		{"one gateway has it all", 1, 5, true, 1},
		{"as many as usual requests fit", 7, 3, true, 3},
		{"no more parts than gateways", 4, 10, true, 4},
		{"one gateway where not even one fits", 4, 0, true, 1},
		{"one gateway at a time where no engine is warm", 7, 3, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			spansOwned := make([]int, test.gateways)
			for span := range 2 * Time(test.gateways) {
				shares, owners := gatewaysWithShare(t, test.gateways, span, test.usualRequests, test.anyWarm)
				if span%2 == 0 && shares != test.shares || Time(len(owners)) != shares {
					t.Fatalf("span %d: gateways %v have one of %d shares, want %d shares", span, owners, shares, test.shares)
				}
				for _, gateway := range owners {
					spansOwned[gateway]++
				}
			}
			if gateway := slices.Index(spansOwned, 0); gateway >= 0 {
				t.Errorf("gateway %d never has a share", gateway)
			}
		})
	}
}

func TestSlowStartEndsWithTheWarmUpTime(t *testing.T) {
	s := slowStart{deployment: &Deployment{WarmUpOverloadTime: Second, WarmUpTime: 10 * Second}}
	tests := []struct {
		name  string
		since Time
		now   Time
		want  bool
	}{
		{"just started", 5 * Second, 5 * Second, true},
		{"before the end", 5 * Second, 15*Second - 1, true},
		{"at the end", 5 * Second, 15 * Second, false},
		{"started long ago", 0, Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &engineState{Endpoint: Endpoint{StartedAt: test.since}}
			if got := s.isWarmingUp(e, test.now); got != test.want {
				t.Errorf("isWarmingUp returned %t, want %t", got, test.want)
			}
		})
	}
}
