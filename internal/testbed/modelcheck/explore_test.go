package modelcheck

import (
	"fmt"
	"os"
)

// cups is a state of two cups that hold three and five litres. Four litres in the larger cup count as a violation.
type cups struct{ three, five int }

func (c cups) Key() []byte { return []byte{byte(c.three), byte(c.five)} }

func (c cups) Violation() string {
	if c.five == 4 {
		return "four litres"
	}
	return ""
}

func (c cups) Transitions() []Transition {
	pour := min(c.three, 5-c.five)
	back := min(c.five, 3-c.three)
	to := func(name string, next cups) Transition { return Transition{name, func() State { return next }} }
	return []Transition{to("fill three", cups{3, c.five}), to("fill five", cups{c.three, 5}), to("empty three", cups{0, c.five}),
		to("empty five", cups{c.three, 0}), to("three into five", cups{c.three - pour, c.five + pour}), to("five into three", cups{c.three + back, c.five - back})}
}

func ExampleExplore() {
	r := Explore(cups{}, 1000, 100)
	r.WriteText(os.Stdout, "two cups")
	r = Explore(cups{}, 5, 100)
	fmt.Println(r.Complete, r.States)
	// Output:
	// two cups: 14 states, 72 moves, 6 deep, to the first violation
	// BAD    four litres
	//    1  fill five
	//    2  five into three
	//    3  empty three
	//    4  five into three
	//    5  fill five
	//    6  five into three
	// false 5
}
