package source

import (
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/configfile"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/workload"
)

const (
	// defaultMemoryBytes is small compared with a gateway's 48 MB.
	defaultMemoryBytes = 2 << 20
	minMemoryBytes     = 64 << 10
	maxMemoryBytes     = 1 << 30

	defaultLogInterval = time.Minute
	minLogInterval     = time.Second

	maxTableRows  = 1e15
	minThreads    = 0.1
	maxThreads    = 1e6
	maxWaiting    = 1e6
	maxJoins      = 1e6
	nanosPerMilli = 1e6
	bytesPerMB    = 1 << 20
)

func readStatements(object *configfile.Object) *workload.StatementConfig {
	statements := &workload.StatementConfig{
		MemoryBytes: object.Size("memory", defaultMemoryBytes),
		LogInterval: object.Duration("log_every", defaultLogInterval),
	}
	if statements.MemoryBytes < minMemoryBytes || statements.MemoryBytes > maxMemoryBytes {
		object.Reject("memory", `a size from "64kB" to "1GB"`)
	}
	if statements.LogInterval < minLogInterval {
		object.Reject("log_every", `a time from "1s" on`)
	}
	statements.SnapshotFile = object.Text("snapshot", "")
	for _, table := range object.Objects("tables") {
		statements.Tables = append(statements.Tables, readTable(table))
	}
	statements.Plan = readPlan(object)
	return statements
}

func readTable(object *configfile.Object) workload.Table {
	pattern := readTablePattern(object)
	return workload.Table{
		Schema: pattern.Schema,
		Name:   pattern.Name,
		Rows:   object.Number("rows", 0, 0, maxTableRows),
		Keys:   object.Texts("keys"),
	}
}

func readTablePattern(object *configfile.Object) resourcegroup.TablePattern {
	pattern := resourcegroup.TablePattern{Schema: object.Text("schema", "*"), Name: object.RequiredText("name")}
	checkPattern(object, "schema", pattern.Schema)
	checkPattern(object, "name", pattern.Name)
	return pattern
}

func checkPattern(object *configfile.Object, field, pattern string) {
	if _, err := path.Match(pattern, ""); err != nil {
		object.Reject(field, "a name, with * for any letters")
	}
}

// readPlan reads and validates pools and classes.
func readPlan(object *configfile.Object) (plan resourcegroup.Plan) {
	poolNames := map[string]bool{"": true}
	for _, o := range object.Objects("pools") {
		pool := resourcegroup.Pool{Name: o.RequiredText("name"), Zones: o.Texts("zones"), Kinds: o.Texts("kinds")}
		if poolNames[pool.Name] && pool.Name != "" {
			o.Reject("name", "a name that no other pool has")
		}
		poolNames[pool.Name] = true
		plan.Pools = append(plan.Pools, pool)
	}
	classNames := map[string]bool{}
	catchAll := "" // name of the class without conditions; classes after it can't match any statement
	for _, o := range object.Objects("classes") {
		class := readClass(o)
		if classNames[class.Name] && class.Name != "" {
			o.Reject("name", "a name that no other class has")
		}
		classNames[class.Name] = true
		if !poolNames[class.Pool] {
			o.Reject("pool", "the name of one of the pools")
		}
		if catchAll != "" {
			o.Reject("name", "no further class, as "+catchAll+" before it takes all statements")
		}
		if when := o.Object("when"); when != nil {
			class.Conditions = readConditions(when)
		} else {
			catchAll = class.Name
		}
		plan.Classes = append(plan.Classes, class)
	}
	if len(plan.Classes) > resourcegroup.MaxClasses {
		object.Reject("classes", fmt.Sprintf("at most %d", resourcegroup.MaxClasses))
	}
	return plan
}

// readClass reads a class, except for its conditions.
func readClass(object *configfile.Object) resourcegroup.Class {
	class := resourcegroup.Class{
		Name:                object.RequiredText("name"),
		Pool:                object.Text("pool", ""),
		MaxThreads:          object.Number("threads", 0, minThreads, maxThreads),
		MaxWaiting:          object.Int("waiting", 0, 1, maxWaiting),
		WorkMillisPerSecond: readMillis(object, "work_per_second"),
		RejectText:          object.Text("refuse", ""),
		ClusterWide:         object.Bool("fleet", false),
	}
	if class.ClusterWide && class.MaxThreads != math.Trunc(class.MaxThreads) {
		object.Reject("threads", "a whole number of threads, where they are the fleet's")
	} else if class.ClusterWide && class.MaxThreads == 0 && class.MaxWaiting == 0 && class.WorkMillisPerSecond < 1 {
		object.Reject("fleet", "threads, waiting or work_per_second, which it has the fleet share")
	}
	if object.HasField("work_per_second") && class.WorkMillisPerSecond == 0 {
		object.Reject("work_per_second", `a time of work above 0, as in "4s"`)
	}
	if object.HasField("refuse") && class.RejectText == "" {
		object.Reject("refuse", "the text of the error that clients get")
	}
	return class
}

// readConditions reads the conditions of a class. The field "lanes" names request classes.
func readConditions(object *configfile.Object) resourcegroup.Conditions {
	conditions := resourcegroup.Conditions{
		RequestClasses:    object.Texts("lanes"),
		Verbs:             object.Texts("verbs"),
		FullScan:          readFlag(object, "full"),
		HasLimit:          readFlag(object, "limited"),
		Uncertain:         readFlag(object, "doubt"),
		MinWorkMillis:     readMillis(object, "work_from"),
		MinUpperMillis:    readMillis(object, "upper_from"),
		MinMemoryMB:       float64(object.Size("memory_from", 0)) / bytesPerMB,
		MinBadPlanShare:   object.Fraction("bad_from", 0),
		MinJoins:          object.Int("joins_from", 0, 0, maxJoins),
		MinUnjoinedTables: object.Int("loose_from", 0, 0, maxJoins),
	}
	for _, verb := range conditions.Verbs {
		if !slices.Contains(costmodel.VerbNames(), verb) {
			object.Reject("verbs", "some of "+strings.Join(costmodel.VerbNames(), ", "))
		}
	}
	for _, table := range object.Objects("tables") {
		conditions.Tables = append(conditions.Tables, readTablePattern(table))
	}
	return conditions
}

// readFlag reads a field that is true or false. It returns nil if the object lacks the field.
func readFlag(object *configfile.Object, field string) *bool {
	if !object.HasField(field) {
		return nil
	}
	value := object.Bool(field, false)
	return &value
}

// readMillis reads a duration and returns it in ms, or 0 if the object lacks the field.
func readMillis(object *configfile.Object, field string) float64 {
	return float64(object.Duration(field, 0)) / nanosPerMilli
}
