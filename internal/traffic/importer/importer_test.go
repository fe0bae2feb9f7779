package importer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/traffic/trace"
)

func show(format Format, text string, o Options) {
	entries, malformed, err := Read(strings.NewReader(text), format, o)
	t, repairs := RepairClock(entries, ClockRepair{})
	fmt.Printf("%s: %d, %v\n", format, len(entries), err)
	for _, r := range t.Records {
		fmt.Printf("  %v %s group %d wait %d retry %v text %q\n", r.Offset, r.Class, r.Group, r.WaitMS, r.Retry, r.Text)
	}
	for _, r := range repairs {
		fmt.Println("  repaired", r)
	}
	for _, a := range malformed {
		fmt.Println("  malformed", a)
	}
}

// The example reads each format, with malformed entries in it.
func ExampleRead() {
	o := Options{Class: "look", Wait: 5 * time.Second, KeepText: true}
	show(JSONLines, `{"time":"2026-11-01T18:00:00Z","lane":"report","group":4,"wait_ms":900,"retry":true}

{"time":1793556000250,"statement":"SELECT 1 FROM actas_9.m"}
{"time":1793556000.5,"group":"x"}
{"time":"yesterday"}
no json
`, o)
	o.Columns = map[string]string{"time": "ts", "lane": "class"}
	show(CSV, "ts,class,statement\n2026-11-01 18:00:00.1,load,\"INSERT INTO actas_2.m\nVALUES (1)\"\n2026-11-01 18:00:00.2\n", o)
	show(CSV, "when,class\n1,2\n", o)
	show(GeneralLog, `/usr/sbin/mysqld, Version: 8.0.36. started with:
Tcp port: 3306  Unix socket: /tmp/mysql.sock
Time                 Id Command    Argument
2026-11-01T18:00:00.000000Z	    8 Connect	app@localhost on reports
2026-11-01T18:00:00.100000Z	    8 Query	SELECT a
  FROM actas_3.m
2026-11-01T18:00:00.300000Z	    9 Query	/* class=load,id=00000000000000aa,wait=700 */ INSERT INTO actas_5.m VALUES (1)
2026-11-01T18:00:00.400000Z	    8 Quit	
`, o)
	show(SlowLog, `/usr/sbin/mysqld, Version: 8.0.36. started with:
# Time: 2026-11-01T18:00:03.000000Z
# User@Host: app[app] @ localhost []  Id:     8
# Query_time: 2.500000  Lock_time: 0.000004 Rows_sent: 1  Rows_examined: 900
use reports;
SET timestamp=1793556000;
SELECT count(*)
FROM actas_7.m;
# Time: 2026-11-01T18:00:04.000000Z
# User@Host: app[app] @ localhost []  Id:     9
# Query_time: x
SET timestamp=1793556001;
SELECT 2;
`, o)
	show("xml", "", o)
	// Output:
	// jsonl: 4, <nil>
	//   0s report group 4 wait 900 retry true text ""
	//   250ms look group 9 wait 5000 retry false text "SELECT 1 FROM actas_9.m"
	//   500ms look group 0 wait 5000 retry false text ""
	//   750ms look group 0 wait 5000 retry false text ""
	//   repaired line 4: stamps are shared by a few entries, 2 entries, by 0s; now 500ms
	//   repaired line 5: entries have no stamp, 1 entries, by 0s; now 0s
	//   malformed line 4: group "x": expected a number from 0; left out
	//   malformed line 5: time "yesterday": expected RFC 3339 or a number since 1970; it counts as one without a stamp
	//   malformed line 6: no JSON object: invalid character 'o' in literal null (expecting 'u')
	// csv: 2, <nil>
	//   0s load group 2 wait 5000 retry false text "INSERT INTO actas_2.m\nVALUES (1)"
	//   100ms look group 0 wait 5000 retry false text ""
	// csv: 0, line 1: no column "ts" for the time; columns are ["when" "class"]
	// mysql-general: 2, <nil>
	//   0s look group 3 wait 5000 retry false text "SELECT a\n  FROM actas_3.m"
	//   200ms load group 5 wait 700 retry false text "INSERT INTO actas_5.m VALUES (1)"
	// mysql-slow: 2, <nil>
	//   0s look group 7 wait 5000 retry false text "SELECT count(*)\nFROM actas_7.m;"
	//   3.5s look group 0 wait 5000 retry false text "SELECT 2;"
	//   malformed line 11: no Query_time that can be read
	// xml: 0, form "xml": expected jsonl, csv, mysql-general or mysql-slow
}

// entriesAt returns entries with timestamps in milliseconds from noon; -1 stands for none.
func entriesAt(ms ...int64) (out []Entry) {
	noon := time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)
	for i, m := range ms {
		r := Entry{Line: i + 1, Record: trace.Record{Group: i}}
		if m >= 0 {
			r.Timestamp = noon.Add(time.Duration(m) * time.Millisecond)
		}
		out = append(out, r)
	}
	return out
}

// Each case lists the times that result from some timestamps, and the repairs.
func ExampleRepairClock() {
	const hour, day = int64(3600_000), int64(86400_000)
	for _, c := range []struct {
		name    string
		entries []Entry
		clock   ClockRepair
	}{
		{"as it was", entriesAt(0, 100, 200, 300), ClockRepair{}},
		{"jumps back an hour", entriesAt(2*hour, 2*hour+100, hour+200, hour+300), ClockRepair{}},
		{"jumps forward a day", entriesAt(0, 100, 200, day+300, day+400), ClockRepair{}},
		{"a day of quiet, kept", entriesAt(0, 100, 200, day+300, day+400), ClockRepair{KeepGaps: true}},
		{"days in the wrong order", entriesAt(day, day+100, 0, 100, 2*day, 2*day+100), ClockRepair{}},
		{"a little out of order", entriesAt(0, 200, 150, 300), ClockRepair{}},
		{"no stamps", entriesAt(0, -1, -1, 300), ClockRepair{}},
		{"none at all", entriesAt(-1, -1), ClockRepair{}},
		{"whole seconds", entriesAt(0, 0, 0, 0, 1000, 1000, 2000), ClockRepair{}},
		{"nothing", nil, ClockRepair{}},
	} {
		t, repairs := RepairClock(c.entries, c.clock)
		fmt.Printf("%-24s", c.name)
		for _, r := range t.Records {
			fmt.Printf(" %v", r.Offset)
		}
		fmt.Println()
		for _, r := range repairs {
			fmt.Println("   ", r)
		}
	}
	// Output:
	// as it was                0s 100ms 200ms 300ms
	// jumps back an hour       0s 100ms 200ms 300ms
	//     line 3: the clock jumped back, 1 entries, by -59m59.9s; now 100ms
	// jumps forward a day      0s 100ms 200ms 300ms 400ms
	//     line 4: the clock jumped forward, 1 entries, by 24h0m0.1s; now 100ms
	// a day of quiet, kept     0s 100ms 200ms 24h0m0.3s 24h0m0.4s
	// days in the wrong order  0s 100ms 200ms 300ms 400ms 500ms
	//     line 3: the clock jumped back, 1 entries, by -24h0m0.1s; now 100ms
	//     line 5: the clock jumped forward, 1 entries, by 47h59m59.9s; now 100ms
	// a little out of order    0s 200ms 250ms 300ms
	//     line 2: stamps are shared by a few entries, 2 entries, by 0s; now 100ms
	//     line 3: entries are a little out of order, 1 entries, by -50ms; now 0s
	// no stamps                0s 100ms 200ms 300ms
	//     line 1: stamps are shared by a few entries, 3 entries, by 0s; now 300ms
	//     line 2: entries have no stamp, 2 entries, by 0s; now 0s
	// none at all              0s 1µs
	//     line 1: entries have no stamp, 2 entries, by 0s; now 0s
	//     line 1: stamps are shared by a few entries, 2 entries, by 0s; now 2µs
	// whole seconds            0s 250ms 500ms 750ms 1s 1.5s 2s
	//     line 1: stamps are shared by a few entries, 6 entries, by 0s; now 1s
	// nothing
}

// The example trims, accelerates, samples and repeats a trace.
func ExampleTrim() {
	t := &trace.Trace{Records: []trace.Record{{Offset: 0}, {Offset: time.Second}, {Offset: 2 * time.Second}, {Offset: 5 * time.Second}}}
	show := func(name string, t *trace.Trace) {
		fmt.Print(name)
		for _, r := range t.Records {
			fmt.Print(" ", r.Offset)
		}
		fmt.Println()
	}
	show("cut ", Trim(t, time.Second, 5*time.Second))
	show("fast", Accelerate(t, 2.5))
	show("thin", Sample(t, 0.5, 2))
	show("loop", Repeat(t, 2))
	// Output:
	// cut  0s 1s
	// fast 0s 400ms 800ms 2s
	// thin 0s 1s 2s 5s
	// loop 0s 1s 2s 5s 6.666666666s 7.666666666s 8.666666666s 11.666666666s
}

// RepairClock keeps the order, and times never decrease, whatever the timestamps are.
func TestRepairClockKeepsOrder(t *testing.T) {
	stamps := []int64{5, 5, -1, 3, 86400_000 * 3, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 0, 3600_000, -1, 1}
	for rotation := range stamps {
		got, _ := RepairClock(entriesAt(append(stamps[rotation:len(stamps):len(stamps)], stamps[:rotation]...)...), ClockRepair{})
		for i, r := range got.Records {
			if r.Group != i || i > 0 && r.Offset < got.Records[i-1].Offset {
				t.Fatalf("rotation %d: record %d is %+v", rotation, i, r)
			}
		}
	}
}
