package resourcegroup

import (
	"errors"
	"fmt"
	"testing"

	"magpiebank/internal/query/costmodel"
)

func ExamplePlan_Classify() {
	yes, no := true, false
	plan := &Plan{Classes: []Class{
		{Name: "never", Conditions: Conditions{FullScan: &yes, HasLimit: &no, Tables: []TablePattern{{"actas_*", "mesas"}}}},
		{Name: "dear", Conditions: Conditions{MinUpperMillis: 5000}},
		{Name: "loads", Conditions: Conditions{Verbs: []string{"load", "insert-select"}}},
		{Name: "look", Conditions: Conditions{RequestClasses: []string{"look"}, FullScan: &no}},
	}}
	for _, sql := range []string{"SELECT a FROM actas_3.mesas", "SELECT a FROM actas_3.mesas LIMIT 5", "SELECT a FROM actas_3.mesas ORDER BY a LIMIT 5",
		"SELECT a FROM actas_3.mesas m, actas_3.otra WHERE m.b = 1", "INSERT INTO actas_3.mesas SELECT * FROM staging.l", "SELECT 1"} {
		model := costmodel.NewModel(1<<20, 1, nil)
		for _, cost := range []float64{0, 20000} {
			inspected := model.Inspect([]byte(sql), 3, 0)
			for range 8 {
				model.Observe(&inspected, cost, 0)
			}
			n := plan.Classify(&ClassificationInput{"look", inspected.Features(), model.Estimate(&inspected)})
			fmt.Printf("%d ", n)
		}
		fmt.Println(sql)
	}
	// Output:
	// 1 1 SELECT a FROM actas_3.mesas
	// 4 2 SELECT a FROM actas_3.mesas LIMIT 5
	// 0 2 SELECT a FROM actas_3.mesas ORDER BY a LIMIT 5
	// 0 2 SELECT a FROM actas_3.mesas m, actas_3.otra WHERE m.b = 1
	// 3 2 INSERT INTO actas_3.mesas SELECT * FROM staging.l
	// 4 2 SELECT 1
}

func ExampleIntersect() {
	a := &Plan{Pools: []Pool{{Name: "n", Zones: []string{"norte", "sur"}}, {Name: "o", Zones: []string{"norte"}}},
		Classes: []Class{{Name: "loads", MaxThreads: 8, Pool: "n"}, {Name: "reports", MaxWaiting: 9}, {Name: "gone", MaxThreads: 1}, {Name: "apart", Pool: "o"}}}
	b := &Plan{Pools: []Pool{{Name: "s", Zones: []string{"sur", "este"}}}, Classes: []Class{{Name: "reports", MaxThreads: 3, MaxWaiting: 5, RejectText: "not now"}, {Name: "loads", MaxThreads: 5, Pool: "s"},
		{Name: "apart", Pool: "s"}}}
	out := Intersect(a, b)
	for _, c := range out.Classes {
		fmt.Printf("%s: %g threads, %d waiting, pool %q, refuse %q\n", c.Name, c.MaxThreads, c.MaxWaiting, c.Pool, c.RejectText)
	}
	fmt.Println(out.Pools, out.Validate([]string{"norte", "sur"}, nil))
	// Output:
	// loads: 5 threads, 0 waiting, pool "both of loads", refuse ""
	// reports: 3 threads, 5 waiting, pool "", refuse "not now"
	// gone: 1 threads, 0 waiting, pool "", refuse "its class is changing"
	// apart: 0 threads, 0 waiting, pool "", refuse "its engines are changing"
	// [{both of loads [sur] []}] <nil>
}

func TestInvalidPlansNameTheField(t *testing.T) {
	for name, test := range map[string]struct {
		plan  Plan
		field string
	}{
		"unknown zone":       {Plan{Pools: []Pool{{Name: "n", Zones: []string{"oeste"}}}}, "statements.pools[0].zones"},
		"unknown kind":       {Plan{Pools: []Pool{{Name: "n", Kinds: []string{"huge"}}}}, "statements.pools[0].kinds"},
		"pool named twice":   {Plan{Pools: []Pool{{Name: "n"}, {Name: "n"}}}, "statements.pools[1].name"},
		"class without name": {Plan{Classes: []Class{{}}}, "statements.classes[0].name"},
		"unknown pool":       {Plan{Classes: []Class{{Name: "a", Pool: "n"}}}, "statements.classes[0].pool"},
		"too many classes":   {Plan{Classes: make([]Class, MaxClasses+1)}, "statements.classes"},
	} {
		t.Run(name, func(t *testing.T) {
			var invalid *PlanError
			err := test.plan.Validate([]string{"norte"}, []string{"std"})
			if !errors.As(err, &invalid) || invalid.Field != test.field {
				t.Errorf("%v, expected an error for the field %s", err, test.field)
			}
		})
	}
}
