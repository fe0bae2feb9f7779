package admission

import (
	"fmt"
	"testing"
)

var sheddingScripts = map[string]func() *script{
	"seats": func() *script { // of eight entries, seven are used; the request of high weight is kept and those of low weight are shed
		d := testDeployment()
		d.MaxRequests = 8
		s := startScript(d, "e1")
		s.engines.items[0].concurrency.limit = 1
		s.sendRequest("runs", 0, 0, "")
		for i := range 6 {
			s.sendRequest(RequestID(fmt.Sprint("cheap", i+1)), 0, 0, "")
		}
		s.sendRequest("dear", 1, 0, "")
		s.sendRequest("cheap7", 0, 0, "")
		s.endAttempt("runs", Served)
		return s
	},
	"too late": func() *script { // a request that arrives just before its deadline and finds no capacity is answered at once
		s := startScript(testDeployment())
		s.HandleRequest(0, Request{ID: "a", Deadline: 5 * Millisecond})
		return s
	},
	"bar": func() *script { // under overload, requests of low price are rejected on arrival
		s := startScript(testDeployment(), "e1")
		s.engines.items[0].concurrency.limit = 1
		s.estimates.updatePrices()
		s.sendRequest("a", 1, 800*Millisecond, "")
		s.sendRequest("held", 1, 800*Millisecond, "")
		s.advanceTo(1560 * Millisecond)
		s.record("bar %.2f of the best class's price", s.pools.list[0].minPrice)
		s.sendRequest("short", 1, 800*Millisecond, "")
		s.sendRequest("long", 1, 60*Second, "")
		return s
	},
	"idle": func() *script { // a request at a hundredth of the best price is sent while nobody waits
		s := startScript(testDeployment(), "e1")
		s.serveRequests(20, 100*Millisecond, 100*Millisecond)
		s.advanceTo(s.clock + Second)
		s.estimates.updatePrices()
		s.record("bar %.2f, price of the long one %.3f of the best", s.pools.list[0].minPrice,
			s.estimates.price(0, 10000*float64(Millisecond))/s.estimates.bestPrice)
		s.sendRequest("long", 0, 10*Second, "")
		return s
	},
	"no engine": func() *script { // queued for as long as an answer in time is possible, then rejected
		s := startScript(testDeployment())
		s.sendRequest("a", 0, 0, "")
		s.sendRequest("b", 2, 0, "")
		s.advanceTo(3 * Second)
		return s
	},
	"deadline": func() *script { // a time-out at the deadline is answered at once; nothing is sent after the client has disconnected
		s := startScript(testDeployment(), "e1")
		s.sendRequest("a", 2, 0, "")
		s.sendRequest("b", 0, 0, "")
		s.HandleDisconnect(s.clock, "b")
		s.advanceTo(10 * Second)
		s.endAttempt("b", Errored)
		s.endAttempt("a", TimedOut)
		return s
	},
}

func TestPoolMinPriceMoves(t *testing.T) {
	tests := []struct {
		name     string
		minPrice float64
		starving bool
		want     float64
	}{
		{"from nothing to the least", 0, true, 0.02},
		{"up while a request starves", 0.5, true, 0.5 * 1.06},
		{"no higher than the most", 1.49, true, 1.5},
		{"down while none does", 0.5, false, 0.5 * 0.97},
		{"to nothing below the least", 0.0201, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := pool{minPrice: test.minPrice, starving: test.starving}
			p.adjustMinPrice()
			if p.minPrice != test.want || p.starving {
				t.Errorf("lowest price %g, starving %t, want price %g, not starving", p.minPrice, p.starving, test.want)
			}
		})
	}
}

// poolPolicy assigns each class, and the engines of each zone, to the pool with the same number.
type poolPolicy struct{}

func (poolPolicy) AllowsAttempt(Time, int, float64) bool       { return true }
func (poolPolicy) Pool(class int) int                          { return class }
func (poolPolicy) InPool(pool int, engine *Endpoint) (in bool) { return engine.Zone == pool }

func TestPoolSetShortageAffectsEnginesOfThatPool(t *testing.T) {
	now := 10 * Second
	s := newPoolSet(now)
	s.policy = poolPolicy{}
	s.forRequest(&activeRequest{estimate: Estimate{PolicyClass: 2}}, now).shortageAt = now
	tests := []struct {
		name string
		zone int
		at   Time
		want bool
	}{
		{"an engine of the pool", 2, now, true},
		{"not one of another pool", 1, now, false},
		{"not after a second", 2, now + Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := &engineState{Endpoint: Endpoint{Zone: test.zone}}
			if got := s.hadRecentShortage(engine, test.at); got != test.want {
				t.Errorf("shortage of capacity: %t, want %t", got, test.want)
			}
		})
	}
	if len(s.list) != 3 {
		t.Errorf("%d pools have state, want 3", len(s.list))
	}
}
