package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listen opens the control socket. One that a process before this one left behind is taken away; one that answers is not.
func listen(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process answers there", path)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		os.Remove(path)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return l, os.Chmod(path, 0o600) // the state is for who runs the gateway
}

// FetchStatus asks a gateway for its state by its control socket.
func FetchStatus(path string) (*Status, error) {
	c, err := net.DialTimeout("unix", path, 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	s := &Status{}
	return s, exchange(c, path, &request{}, s)
}

// SendPolicyRequest asks a gateway something of policies by its control socket. A proposal is answered when it has ended.
func SendPolicyRequest(ctx context.Context, path string, q *PolicyRequest) (*PolicyReply, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })()
	a := &PolicyReply{}
	return a, exchange(c, path, &request{q}, a)
}

func exchange(c net.Conn, path string, q *request, answer any) error {
	err := json.NewEncoder(c).Encode(q)
	if err == nil {
		err = json.NewDecoder(c).Decode(answer)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// allowed refuses whoever is neither of this process's user nor root.
func allowed(c net.Conn) error {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return errors.New("no Unix socket")
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var failed error
	if err := raw.Control(func(fd uintptr) { peer, failed = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	if peer.Uid != 0 && int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("user %d asked, this process is of user %d", peer.Uid, os.Geteuid())
	}
	return nil
}

// WriteText writes a state as tables.
func (s *Status) WriteText(out io.Writer) {
	quiet := ""
	if s.Displaced {
		quiet = "; displaced: a later process has its name, and it takes no part"
	}
	fmt.Fprintf(out, "%s at %s, start %d: %d members known, %d of them lost; judges %d times slower than usual%s\n", s.Name, s.Address, s.Start, len(s.Members), s.Lost,
		s.SuspicionMultiplier, quiet)
	fmt.Fprintf(out, "%d datagrams sent, %d taken in; dropped since the last line in the log: %v\n\n", s.Sent, s.Received, s.Dropped)
	fmt.Fprintf(out, "%-20s %-8s %10s  %s\n", "member", "state", "since s", "address")
	for _, m := range s.Members {
		fmt.Fprintf(out, "%-20s %-8s %10.1f  %s\n", m.Name, m.State, m.StateSeconds, m.Address)
	}
	if len(s.Budgets) > 0 {
		fmt.Fprintln(out)
		s.budgets(out)
	}
	if s.Counts != nil {
		s.Counts.text(out)
	}
	fmt.Fprintf(out, "\n%-20s %12s %24s %8s %10s %14s  %s\n", "engine", "answered s", "failed s", "against", "witnesses", "report heard s", "failed for others")
	age := func(v float64) string {
		if v < 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f", v)
	}
	for _, e := range s.Engines {
		fmt.Fprintf(out, "%-20s %12s %24s %8.2f %10d %14s  %s\n", e.Engine, age(e.AnsweredSeconds), strings.TrimSpace(e.Failure+" "+age(e.FailedSeconds)), e.Evidence, e.Witnesses, age(e.ReportSeconds), e.ReportedFailures)
	}
}

func (c *CountStatus) text(out io.Writer) {
	fmt.Fprintf(out, "\ncounts of the fleet as of %.1f s ago: %d gateways heard, %d silent\n", c.AgeSeconds, c.KnownGateways, c.SilentGateways)
	fmt.Fprintf(out, "%-28s %12s %12s %16s\n", "of", "waits", "runs", "handed off")
	between := func(v [2]int64) string {
		switch {
		case v[1] < 0:
			return fmt.Sprintf("%d or more", v[0])
		case v[0] == v[1]:
			return fmt.Sprint(v[0])
		}
		return fmt.Sprintf("%d to %d", v[0], v[1])
	}
	for _, l := range c.Lines {
		fmt.Fprintf(out, "%-28s %12s %12s %16s\n", l.Subject, between(l.Waiting), between(l.Running), between(l.Attempts))
	}
}

func (s *Status) budgets(out io.Writer) {
	fmt.Fprintf(out, "%-20s %6s %6s %6s %9s %6s %7s %12s\n", "budget", "total", "own", "lent", "borrowed", "used", "wanted", "seat held s")
	for _, b := range s.Budgets {
		fmt.Fprintf(out, "%-20s %6d %6d %6d %9d %6d %7d %12.1f\n", b.Budget, b.Total, b.LocalShare, b.Lent, b.Borrowed, b.Used, b.Wanted, b.ShareSeconds)
	}
}

// WriteText writes what a gateway knows of policies.
func (s *PolicyStatus) WriteText(out io.Writer) {
	held := fmt.Sprintf("lease for %.1f s", s.LeaseSeconds)
	if s.LeaseSeconds == 0 {
		held = "NO LEASE: tasks that a class of any policy has to do with are turned away"
	}
	fmt.Fprintf(out, "%s goes by number %d, %s; %s\n", s.Name, s.Number, s.Digest, held)
	if s.DecidedNumber != s.Number {
		fmt.Fprintf(out, "number %d is decided\n", s.DecidedNumber)
	}
	if s.UnusableDigest != "" {
		fmt.Fprintf(out, "it can't follow %s: its log says why\n", s.UnusableDigest)
	}
	role := ""
	if s.IsVoter {
		role = "; it is one of them"
	} else if s.IsLearner {
		role = "; it is to be one of them, and is not yet"
	}
	leader := s.Leader
	if leader == "" {
		leader = "not known"
	}
	fmt.Fprintf(out, "voters %s, leader %s, era %d%s\n", strings.Join(s.Voters, " "), leader, s.Era, role)
	if s.Proposal != "" {
		ready := "not ready for it"
		if s.Ready {
			ready = "ready for it"
		} else if s.Reason != "" {
			ready = "refuses it: " + s.Reason
		}
		fmt.Fprintf(out, "proposal %s, %s, is open; %s\n", s.Proposal, s.ProposalDigest, ready)
	}
	if s.VoterChange != "" {
		fmt.Fprintln(out, s.VoterChange)
	}
	if len(s.Members) > 0 {
		fmt.Fprintf(out, "\n%-20s %8s %8s %6s  %s\n", "member", "heard s", "lease s", "ready", "")
		for _, m := range s.Members {
			more := m.Reason
			if m.Excluded {
				more = strings.TrimSpace("left out " + more)
			}
			fmt.Fprintf(out, "%-20s %8.1f %8.1f %6t  %s\n", m.Name, m.ContactSeconds, m.LeaseSeconds, m.Ready, more)
		}
	}
}

// WriteHistory writes the policies that were in force, and how proposals ended.
func (s *PolicyStatus) WriteHistory(out io.Writer) {
	fmt.Fprintf(out, "%7s  %-12s %8s  %-9s %-20s %s\n", "number", "digest", "bytes", "kind", "by", "at")
	for _, a := range s.Records {
		kind := a.Kind
		if a.SourceNumber > 0 {
			kind = fmt.Sprintf("%s %d", a.Kind, a.SourceNumber)
		}
		fmt.Fprintf(out, "%7d  %-12s %8d  %-9s %-20s %s\n", a.Number, a.Digest, a.Size, kind, a.Proposer, time.Unix(a.UnixSeconds, 0).UTC().Format(time.RFC3339))
	}
	for _, e := range s.Results {
		fmt.Fprintf(out, "proposal %08x: %s %s\n", uint32(e.ID>>32), e.Outcome, e.Reason)
	}
}

// WriteBudgets writes budgets member by member, and the counts of the whole fleet by class.
func (s *Status) WriteBudgets(out io.Writer) {
	if len(s.Budgets) == 0 {
		fmt.Fprintf(out, "%s shares no budget\n", s.Name)
		return
	}
	s.budgets(out)
	for _, b := range s.Budgets {
		fmt.Fprintf(out, "\n%s, %s with\n%-20s %6s %9s %7s %10s %8s\n", b.Budget, s.Name, "member", "lent", "borrowed", "ends s", "could lend", "told s")
		for _, p := range b.Peers {
			fmt.Fprintf(out, "%-20s %6d %9d %7.1f %10d %8.1f\n", p.Member, p.Lent, p.Borrowed, p.LeaseSeconds, p.Lendable, p.ReportSeconds)
		}
	}
	if s.Counts != nil {
		s.Counts.text(out)
	}
}
