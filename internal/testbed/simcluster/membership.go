package simcluster

import (
	"fmt"
	"io"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/membership"
)

// MembershipResult is the result of one simulation of membership.
type MembershipResult struct {
	Members   int
	Loss      float64 // share of messages that are lost
	Stopped   float64 // share of members that are paused from time to time
	Joined    Time    // time until all members knew each other; below 0: they did not within a minute
	Detect    Time    // time until nine of ten members declared a killed member dead, the median over the killed members; below 0: they did not
	DetectAll Time    // the longest time until a member declared a killed member dead
	False     int     // number of times that a member declared a living member dead
	Suspected int     // number of times that a member suspected another while no member was killed
	Bytes     float64 // bytes sent per second and member, including datagram headers and encryption
	Seconds   float64 // length of the quiet phase, in which False, Suspected and Bytes are measured
}

const quietSeconds = 60

// MeasureMembership simulates a cluster of n members that loses messages with a probability of loss. After the start it measures a quiet
// phase of one minute, in which a share of stopped members pause from time to time, and then kills some members at once.
func MeasureMembership(n int, loss, stopped float64, seed uint64) MembershipResult {
	const second = admission.Second
	c := New(n, seed)
	result := MembershipResult{Members: n, Loss: loss, Stopped: stopped, Joined: -1, Seconds: quietSeconds}
	c.Link = func(int, int) Link { return Link{Loss: loss, Delay: 5, Jitter: 20} }
	c.Start(2 * second)
	for at := second; at <= 60*second && result.Joined < 0; at += second / 2 {
		c.Run(at)
		if at >= 2*second && c.WrongViews() == 0 {
			result.Joined = at
		}
	}
	c.Run(c.Now + 10*second)
	c.measureQuiet(&result)
	c.measureDeaths(&result)
	return result
}

// measureQuiet runs the cluster for the quiet phase, in which some members pause and none is killed, and counts false deaths, suspicions
// and bytes.
func (c *Cluster) measureQuiet(result *MembershipResult) {
	for _, p := range c.Processes {
		p.Sent = 0
	}
	for i, p := range c.Processes {
		if float64(i%100) < 100*result.Stopped {
			c.schedulePauses(p, c.Now+quietSeconds*admission.Second)
		}
	}
	c.OnChange = func(change MembershipChange) {
		switch {
		case change.Code == membership.Died:
			result.False++
		case change.Code == membership.Suspected && change.Member.Accuser == c.Processes[change.By].Name:
			result.Suspected++
		}
	}
	c.Run(c.Now + quietSeconds*admission.Second)
	var bytes int64
	for _, p := range c.Processes {
		bytes += p.Sent
	}
	result.Bytes = float64(bytes) / float64(result.Members) / result.Seconds
}

// schedulePauses schedules pauses of a process until a time. A pause of one to four seconds starts every eight to fourteen seconds.
func (c *Cluster) schedulePauses(p *Process, until Time) {
	const second = admission.Second
	for at := c.Now + Time(c.random.Int64N(int64(10*second))); at < until; at += 8*second + Time(c.random.Int64N(int64(6*second))) {
		c.Schedule(at, func() { p.Pause(second + Time(c.random.Int64N(int64(3*second)))) })
	}
}

// measureDeaths kills one member in fifty, all at once, and measures when the others declare them dead.
func (c *Cluster) measureDeaths(result *MembershipResult) {
	killed := map[string][]Time{} // by name: when each other member declared it dead
	began := c.Now
	c.OnChange = func(change MembershipChange) {
		if times, ok := killed[change.Member.Name]; ok && change.Code == membership.Died {
			killed[change.Member.Name] = append(times, change.At-began)
		}
	}
	var names []string
	n := result.Members
	for k := range max(1, n/50) {
		p := c.Processes[2+k*7%(n-2)]
		if _, again := killed[p.Name]; !again {
			killed[p.Name] = nil
			names = append(names, p.Name)
			p.Kill()
		}
	}
	c.Run(c.Now + 120*admission.Second)
	var detected []Time // for each killed member: time until nine of ten other members declared it dead
	others := n - len(names)
	for _, name := range names {
		times := killed[name]
		slices.Sort(times)
		if k := others * 9 / 10; len(times) > k {
			detected = append(detected, times[k])
		}
		if len(times) > 0 {
			result.DetectAll = max(result.DetectAll, times[len(times)-1])
		}
	}
	slices.Sort(detected)
	result.Detect = -1
	if len(detected) > 0 {
		result.Detect = detected[len(detected)/2]
	}
}

// WriteMembership writes a list of results as a table.
func WriteMembership(out io.Writer, list []MembershipResult) {
	fmt.Fprintln(out, "members  loss  stopped  joined s  dead known to 9 of 10 s  to all s  false deaths  suspicions  bytes/s a member")
	for _, f := range list {
		s := func(t Time) float64 { return float64(t) / float64(admission.Second) }
		fmt.Fprintf(out, "%7d  %3.0f%%  %6.0f%%  %8.1f  %22.1f  %8.1f  %12d  %10d  %16.0f\n", f.Members, 100*f.Loss, 100*f.Stopped, s(f.Joined), s(f.Detect),
			s(f.DetectAll), f.False, f.Suspected, f.Bytes)
	}
}
