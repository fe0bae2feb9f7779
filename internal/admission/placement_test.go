package admission

import (
	"fmt"
	"math"
	"testing"
)

var placementScripts = map[string]func() *script{
	"placement": func() *script { // classes with zones or kinds use no other engines, however full the allowed ones are
		d := testDeployment()
		d.Classes[0].Zones, d.Classes[1].Kinds = []int{1}, []int{5}
		s := startScript(d)
		s.updateList(FullUpdate, Endpoint{Engine: "z0"}, Endpoint{Engine: "z1", Zone: 1})
		s.sendRequest("a", 0, 0, "")
		s.endAttempt("a", EngineFull)
		s.sendRequest("nowhere", 1, 0, "")
		s.advanceTo(5 * Second)
		return s
	},
}

func TestDedupScopeIncludes(t *testing.T) {
	prior := &PriorAttempt{MayHaveRun: true, Zone: 1, Group: 2}
	tests := []struct {
		name  string
		scope DedupScope
		e     Endpoint
		want  bool
	}{
		{"any engine", AllEngines, Endpoint{Zone: 7, Group: 7}, true},
		{"the zone", SameZone, Endpoint{Zone: 1, Group: 7}, true},
		{"not another zone", SameZone, Endpoint{Zone: 7, Group: 2}, false},
		{"the cell", SameGroup, Endpoint{Zone: 1, Group: 2}, true},
		{"not another cell of the zone", SameGroup, Endpoint{Zone: 1, Group: 7}, false},
		{"not the cell of that number in another zone", SameGroup, Endpoint{Zone: 7, Group: 2}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.scope.includes(prior, &test.e); got != test.want {
				t.Errorf("includes returned %t, want %t", got, test.want)
			}
		})
	}
}

func TestTableAffinityPrefersAThirdOfTheEngines(t *testing.T) {
	const engines = 3000
	c := New(0, 1, &Deployment{Gateways: 1, Classes: []Class{
		{Threads: 1, LatencyObjective: Second},
		{Threads: 1, LatencyObjective: Second, BlockedByLoads: true},
		{Threads: 1, LatencyObjective: Second, LoadsTables: true},
	}}, noopHost{})
	tests := []struct {
		name  string
		class int
		want  map[float64]float64 // share of the engines, by affinity
	}{
		{"reads", 0, map[float64]float64{4: 1.0 / 3, 1: 2.0 / 3}},
		{"reads that loads block", 1, map[float64]float64{4: 1.0 / 3, 1: 1.0 / 3, 0.25: 1.0 / 3}},
		{"loads", 2, map[float64]float64{4: 1.0 / 3, 1: 1.0 / 3, 0.25: 1.0 / 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newEngineTable()
			count := map[float64]float64{}
			for i := range engines {
				engine := table.at(table.add(EngineID(fmt.Sprint("e", i))))
				count[c.tableAffinity(&activeRequest{class: test.class, tableGroup: 5}, engine)]++
				engine.Endpoint = Endpoint{Engine: EngineID(fmt.Sprint("e", i))}
			}
			if len(count) != len(test.want) {
				t.Fatalf("engines by affinity: %v, want %v", count, test.want)
			}
			for affinity, share := range test.want {
				if got := count[affinity] / engines; math.Abs(got-share) > 0.05 {
					t.Errorf("affinity %g: %.3f of the engines, want %.3f", affinity, got, share)
				}
			}
		})
	}
}
