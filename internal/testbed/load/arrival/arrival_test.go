package arrival

import (
	"fmt"
	"testing"
	"time"
)

// countBySecond returns the number of a shape's arrivals in each of the first seconds.
func countBySecond(shape Shape, seconds int) (counts []int) {
	counts = make([]int, seconds)
	stream := shape.Stream(7)
	for last := time.Duration(0); ; {
		at, ok := stream.Next()
		if !ok || at >= time.Duration(seconds)*time.Second {
			return counts
		}
		if at < last {
			panic("arrival times are not in ascending order")
		}
		last = at
		counts[at/time.Second]++
	}
}

// Prints the number of arrivals of each shape in each of the first eight seconds.
func ExampleShape() {
	trace := Shape{Kind: Replay, Times: []time.Duration{0, time.Second, time.Second, 2500 * time.Millisecond, 7 * time.Second}}
	for _, example := range []struct {
		name  string
		shape Shape
	}{
		{"poisson 100", Shape{Kind: Poisson, Rate: 100}},
		{"steady 100", Shape{Kind: Steady, Rate: 100}},
		{"bursts 20/400", Shape{Kind: Bursts, Levels: []float64{20, 400}, Dwell: time.Second}},
		{"on-off 200", Shape{Kind: OnOff, Rate: 200, On: time.Second, Off: time.Second, Tail: 1.5}},
		{"ramp 0..400 in 4 s", Shape{Kind: Ramp, Peak: 400, Over: 4 * time.Second}},
		{"step 10,100,50", Shape{Kind: Step, Levels: []float64{10, 100, 50}, Dwell: 2 * time.Second}},
		{"diurnal 100 by all", Shape{Kind: Diurnal, Rate: 100, Swing: 1, Period: 8 * time.Second}},
		{"flash at 2 s", Shape{Kind: Flash, Rate: 10, Peak: 400, From: 2 * time.Second, Over: time.Second, Half: time.Second}},
		{"replay", trace},
		{"replay by 2.5", Shape{Kind: Scale, Factor: 2.5, Parts: []Shape{trace}}},
		{"sum", Shape{Kind: Sum, Parts: []Shape{{Kind: Steady, Rate: 10}, {Kind: Steady, Rate: 100, For: 3 * time.Second}}}},
		{"scale by 3", Shape{Kind: Scale, Factor: 3, Parts: []Shape{{Kind: Steady, Rate: 100}}}},
		{"thin to a tenth", Shape{Kind: Thin, Factor: 0.1, Parts: []Shape{{Kind: Steady, Rate: 1000}}}},
		{"sequence", Shape{Kind: Sequence, Parts: []Shape{{Kind: Steady, Rate: 10, For: 3 * time.Second}, {Kind: Steady, Rate: 50}}}},
		{"nothing", Shape{Kind: Poisson}},
	} {
		if err := example.shape.Check("load"); err != nil {
			panic(err)
		}
		fmt.Printf("%-20s %v\n", example.name, countBySecond(example.shape, 8))
	}
	// Output:
	// poisson 100          [87 101 95 96 109 99 107 94]
	// steady 100           [100 100 100 100 100 100 100 100]
	// bursts 20/400        [75 365 29 264 408 411 403 46]
	// on-off 200           [188 144 85 156 121 81 131 114]
	// ramp 0..400 in 4 s   [55 145 253 330 409 356 375 369]
	// step 10,100,50       [10 7 100 113 50 69 42 50]
	// diurnal 100 by all   [201 149 70 12 8 65 120 190]
	// flash at 2 s         [12 10 201 263 147 62 46 30]
	// replay               [1 2 1 0 0 0 0 1]
	// replay by 2.5        [2 5 1 0 0 1 0 2]
	// sum                  [110 110 110 10 10 10 10 10]
	// scale by 3           [300 300 300 300 300 300 300 300]
	// thin to a tenth      [96 109 88 102 87 111 104 84]
	// sequence             [10 10 10 50 50 50 50 50]
	// nothing              [0 0 0 0 0 0 0 0]
}

func ExampleShape_Check() {
	for _, shape := range []Shape{{Kind: "poison"}, {Kind: Poisson, Rate: -1}, {Kind: Bursts}, {Kind: Ramp, Rate: 1},
		{Kind: OnOff, On: 1, Off: 1, Tail: 1}, {Kind: Sum, Parts: []Shape{{Kind: Steady}, {Kind: Thin, Factor: 2, Parts: []Shape{{Kind: Steady}}}}},
		{Kind: Sequence, Parts: []Shape{{Kind: Steady}, {Kind: Steady}}}, {Kind: Replay, Times: []time.Duration{2, 1}}} {
		fmt.Println(shape.Check("load"))
	}
	// Output:
	// load.kind: expected one of poisson, steady, bursts, on-off, ramp, step, diurnal, flash, replay, sum, scale, thin and sequence, found "poison"
	// load.rate: expected tasks a second from 0 to 1e+07, found -1
	// load.levels: expected at least one rate
	// load.over: expected a time above 0, found 0s
	// load.tail: expected a number above 1, or the mean has no end, found 1
	// load.parts[1].factor: expected a share from 0 to 1, or for scale up to 10000, found 2
	// load.parts[0].for: expected a time above 0, as another part follows
	// load.times: entry 1 comes before the one ahead of it
}

var testClasses = []Class{
	{Name: "look", Share: 3, Groups: 10, Zipf: 1, Statements: []string{"SELECT {literal} FROM actas_{group}.m", "SELECT {x}"}},
	{Name: "load", Share: 1, Groups: 2, Literals: 5, Statements: []string{"INSERT INTO actas_{group}.m VALUES ({literal})"}},
}

func ExampleSchedule() {
	schedule, err := NewSchedule(&Shape{Kind: Steady, Rate: 10}, testClasses, 3, time.Second)
	for request, ok := schedule.Next(); ok; request, ok = schedule.Next() {
		fmt.Printf("%d %v %s %s\n", request.Number, request.At, testClasses[request.Class].Name,
			testClasses[request.Class].Statement(nil, &request))
	}
	fmt.Println(err)
	// Output:
	// 0 0s look SELECT b54b44d500f46c9b FROM actas_1.m
	// 1 100ms look SELECT {x}
	// 2 200ms look SELECT 9b33e2bd3845e756 FROM actas_7.m
	// 3 300ms look SELECT 9d93afbe209693f1 FROM actas_1.m
	// 4 400ms load INSERT INTO actas_1.m VALUES (1)
	// 5 500ms look SELECT e1165860e7c5f89a FROM actas_1.m
	// 6 600ms look SELECT {x}
	// 7 700ms load INSERT INTO actas_1.m VALUES (3)
	// 8 800ms look SELECT 20e528ec012c8b57 FROM actas_1.m
	// 9 900ms look SELECT 611806dd213d138a FROM actas_1.m
	// <nil>
}

func drawSchedule(t *testing.T, shape *Shape, seed int64, length time.Duration) (requests []Request) {
	t.Helper()
	schedule, err := NewSchedule(shape, testClasses, seed, length)
	if err != nil {
		t.Fatal(err)
	}
	for request, ok := schedule.Next(); ok; request, ok = schedule.Next() {
		requests = append(requests, request)
	}
	return requests
}

// The shards together contain exactly the requests of the undivided schedule. The classes occur in proportion to their
// shares, and the groups follow Zipf's law.
func TestShardsMakeUpTheSchedule(t *testing.T) {
	shape := &Shape{Kind: Sum, Parts: []Shape{{Kind: Poisson, Rate: 500}, {Kind: Bursts, Levels: []float64{0, 900}, Dwell: 100 * time.Millisecond}}}
	const seed, length, shards = 9, 20 * time.Second, 5
	complete := drawSchedule(t, shape, seed, length)
	sharded := map[uint64]Request{}
	for shard := range shards {
		for _, request := range drawSchedule(t, shape, seed, length) {
			if Shard(request.Number, shards) != shard {
				continue
			}
			if _, twice := sharded[request.Number]; twice {
				t.Fatalf("request %d is in two shards", request.Number)
			}
			sharded[request.Number] = request
		}
	}
	lookUps, firstGroup := 0, 0
	for _, request := range complete {
		if sharded[request.Number] != request {
			t.Fatalf("request %d: %+v in the complete schedule, %+v in its shard", request.Number, request, sharded[request.Number])
		}
		if request.Class != 0 {
			continue
		}
		lookUps++
		if request.Group == 1 {
			firstGroup++
		}
	}
	if count := float64(len(complete)); len(sharded) != len(complete) || float64(lookUps)/count < 0.73 || float64(lookUps)/count > 0.77 {
		t.Errorf("%d requests in the schedule, %d in its shards, %d of the class look", len(complete), len(sharded), lookUps)
	}
	// The expected fraction is 0.341: 1 / (1/1 + 1/2 + ... + 1/10).
	if fraction := float64(firstGroup) / float64(lookUps); fraction < 0.32 || fraction > 0.36 {
		t.Errorf("the first group has %.3f of the requests of the class look, expected 0.341", fraction)
	}
}

func BenchmarkSchedule(b *testing.B) {
	schedule, err := NewSchedule(&Shape{Kind: Poisson, Rate: 50000}, testClasses, 1, 0)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	var text []byte
	for b.Loop() {
		request, _ := schedule.Next()
		text = testClasses[request.Class].Statement(text[:0], &request)
	}
}
