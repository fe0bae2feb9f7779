package admission

import (
	"math"
	"slices"
	"testing"
)

var queueScripts = map[string]func() *script{
	"ordinary": func() *script { // sent on arrival while there is capacity, then by priority weight, then by arrival
		s := startScript(testDeployment(), "e1")
		s.engines.items[0].concurrency.limit = 2
		s.sendRequest("a", 0, 0, "")
		s.sendRequest("b", 0, 0, "")
		s.sendRequest("cheap1", 0, 0, "")
		s.sendRequest("cheap2", 0, 0, "")
		s.sendRequest("dear", 1, 0, "")
		for i, id := range []RequestID{"a", "b", "dear", "cheap1", "cheap2"} {
			s.advanceTo(Time(i+1) * 20 * Millisecond)
			s.endAttempt(id, Served)
		}
		return s
	},
	"tenants": func() *script { // the tenant with the fewest threads for its share goes first
		d := testDeployment()
		d.Tenants = []Tenant{{Share: 0.75}, {Share: 0.25}}
		s := startScript(d, "e1")
		s.engines.items[0].concurrency.limit = 1
		for i, id := range []RequestID{"first0", "x0", "y0", "x1"} {
			s.HandleRequest(s.clock, Request{ID: id, Deadline: 10 * Second, Tenant: i / 3})
		}
		s.tenants.threads[0] = 2
		s.endAttempt("first0", Served)
		return s
	},
	"worth first": func() *script { // at a limit near zero too, the class with the highest weight goes first, whatever its work
		d := testDeployment()
		d.Gateways, d.SupportsProbes = 300, false
		s := startScript(d, "e1", "e2", "e3")
		s.estimates.updatePrices()
		for i := range s.engines.items {
			s.engines.items[i].concurrency.randomFactor = math.Inf(1)
		}
		s.sendRequest("short", 0, 0, "")
		s.sendRequest("dear", 1, 0, "")
		s.estimates.meanWork = 1
		s.advanceTo(20 * Millisecond)
		return s
	},
}

func TestRequestQueuesKeepTheOrderOfArrival(t *testing.T) {
	requests := newRequestTable()
	queues := newRequestQueues(1, 2)
	for sequence, id := range []RequestID{"first", "second", "third"} {
		queues.insert(&requests, requests.add(activeRequest{id: id, class: 1, sequence: uint64(sequence)}))
	}
	second := requests.byID["second"]
	queues.remove(&requests, second)
	queues.remove(&requests, second) // has no effect: the request is in no queue any more
	queues.insert(&requests, second)
	if want := []requestIndex{0, 1, 2}; !slices.Equal(*queues.queue(0, 1), want) || queues.waiting != len(want) {
		t.Errorf("queue %v with %d waiting, want %v", *queues.queue(0, 1), queues.waiting, want)
	}
	if len(*queues.queue(0, 0)) != 0 {
		t.Errorf("the queue of another class contains %v, want none", *queues.queue(0, 0))
	}
}

func TestTenantSharesOrder(t *testing.T) {
	tests := []struct {
		name    string
		shares  []float64
		threads []float64
		want    []int
	}{
		{"as they are where none runs", []float64{0.5, 0.5}, []float64{0, 0}, []int{0, 1}},
		{"the one with the fewest threads first", []float64{0.5, 0.5}, []float64{2, 1}, []int{1, 0}},
		{"by what it uses of its share", []float64{0.8, 0.2}, []float64{2, 1}, []int{0, 1}},
		{"one without a share last", []float64{0, 1}, []float64{1, 9}, []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &Deployment{}
			for _, share := range test.shares {
				d.Tenants = append(d.Tenants, Tenant{Share: share})
			}
			s := newTenantShares(d)
			copy(s.threads, test.threads)
			s.sort()
			if !slices.Equal(s.order, test.want) {
				t.Errorf("order %v, want %v", s.order, test.want)
			}
		})
	}
}

func TestClassesByWeightKeepEqualOnesInOrder(t *testing.T) {
	got := classesByWeight([]Class{{Weight: 1}, {Weight: 20}, {Weight: 5}, {Weight: 20}})
	if want := []int{1, 3, 2, 0}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
