package simcluster

import (
	"fmt"
	"io"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/membership"
)

// MembershipResult are what one run of membership came to.
type MembershipResult struct {
	Members   int
	Loss      float64
	Stopped   float64 // share of members that stand still now and then
	Joined    Time    // until all had found each other; below 0: they had not
	Detect    Time    // until nine of ten had taken a killed member for dead, the median of those killed
	DetectAll Time    // the longest until all had
	False     int     // times that somebody took a living member for dead
	Suspected int     // suspicions of members that ran
	Bytes     float64 // a second a member, heads of datagrams and sealing counted
	Seconds   float64 // of the quiet part over which the last three were counted
}

// MeasureMembership plays one fleet: it starts, runs for a minute with loss and with members that stop, and loses some members at once.
func MeasureMembership(n int, loss, stopped float64, seed uint64) MembershipResult {
	const second = admission.Second
	c := New(n, seed)
	f := MembershipResult{Members: n, Loss: loss, Stopped: stopped, Joined: -1, Seconds: 60}
	c.Link = func(int, int) Link { return Link{Loss: loss, Delay: 5, Jitter: 20} }
	c.Start(2 * second)
	for at := second; at <= 60*second && f.Joined < 0; at += second / 2 {
		if c.Run(at); at >= 2*second && c.WrongViews() == 0 {
			f.Joined = at
		}
	}
	c.Run(c.Now + 10*second)
	var bytes int64
	for _, p := range c.Processes {
		p.Sent = 0
	}
	halted := map[int]bool{}
	for i, p := range c.Processes {
		if float64(i%100) < 100*stopped {
			halted[i] = true
			for at := c.Now + Time(c.random.Int64N(int64(10*second))); at < c.Now+60*second; at += 8*second + Time(c.random.Int64N(int64(6*second))) {
				c.Schedule(at, func() { p.Pause(second + Time(c.random.Int64N(int64(3*second)))) })
			}
		}
	}
	c.OnChange = func(t MembershipChange) {
		switch {
		case t.Code == membership.Died:
			f.False++
		case t.Code == membership.Suspected && t.Member.Accuser == c.Processes[t.By].Name:
			f.Suspected++
		}
	}
	c.Run(c.Now + 60*second)
	for _, p := range c.Processes {
		bytes += p.Sent
	}
	f.Bytes = float64(bytes) / float64(n) / f.Seconds
	killed := map[string][]Time{}
	began := c.Now
	c.OnChange = func(t MembershipChange) {
		if _, ok := killed[t.Member.Name]; ok && t.Code == membership.Died {
			killed[t.Member.Name] = append(killed[t.Member.Name], t.At-began)
		}
	}
	var names []string
	for k := range max(1, n/50) {
		p := c.Processes[2+k*7%(n-2)]
		if _, again := killed[p.Name]; !again {
			killed[p.Name] = nil
			names = append(names, p.Name)
			p.Kill()
		}
	}
	c.Run(c.Now + 120*second)
	var nines []Time
	others := n - len(names)
	for _, name := range names {
		at := killed[name]
		slices.Sort(at)
		if k := others * 9 / 10; len(at) > k {
			nines = append(nines, at[k])
		}
		if len(at) > 0 {
			f.DetectAll = max(f.DetectAll, at[len(at)-1])
		}
	}
	if slices.Sort(nines); len(nines) > 0 {
		f.Detect = nines[len(nines)/2]
	} else {
		f.Detect = -1
	}
	return f
}

// WriteMembership writes figures as a table.
func WriteMembership(out io.Writer, list []MembershipResult) {
	fmt.Fprintln(out, "members  loss  stopped  joined s  dead known to 9 of 10 s  to all s  false deaths  suspicions  bytes/s a member")
	for _, f := range list {
		s := func(t Time) float64 { return float64(t) / float64(admission.Second) }
		fmt.Fprintf(out, "%7d  %3.0f%%  %6.0f%%  %8.1f  %22.1f  %8.1f  %12d  %10d  %16.0f\n", f.Members, 100*f.Loss, 100*f.Stopped, s(f.Joined), s(f.Detect),
			s(f.DetectAll), f.False, f.Suspected, f.Bytes)
	}
}
