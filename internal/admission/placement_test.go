package admission

import (
	"testing"
)

var placementScripts = map[string]func() *script{
	"placement": func() *script { // bound classes stay where they may go, however full that is
		d := testDeployment()
		d.Classes[0].Zones, d.Classes[1].Kinds = []int{1}, []int{5}
		s := startScript(d)
		s.updateList(FullUpdate, Endpoint{Engine: "z0"}, Endpoint{Engine: "z1", Zone: 1})
		s.sendRequest("a", 0, 0, "")
		s.endAttempt("a", Full)
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
		{"the cell", SameCell, Endpoint{Zone: 1, Group: 2}, true},
		{"not another cell of the zone", SameCell, Endpoint{Zone: 1, Group: 7}, false},
		{"not the cell of that number in another zone", SameCell, Endpoint{Zone: 7, Group: 2}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.scope.includes(prior, &test.e); got != test.want {
				t.Errorf("included: %t, want %t", got, test.want)
			}
		})
	}
}
