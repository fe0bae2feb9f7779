package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/workload/source"
)

// policyCommand changes what the whole fleet goes by, and tells how that stands.
func policyCommand() *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "The fleet's policy: propose a change, follow it, go back"}
	c.AddCommand(proposeCommand("propose", "Have a file's pools and classes take hold at all gateways, or at none"),
		proposeCommand("rehearse", "Have all gateways try a file's pools and classes beside those in force, deciding nothing by them"),
		rollbackCommand(), policyStatus(), policyHistory(), policyDiff(), policyText(), policyVoters(), policyForce())
	return c
}

// at names the gateway that is asked.
type at struct{ file, control string }

func (a *at) flags(c *cobra.Command) {
	c.Flags().StringVar(&a.file, "operator", "", "an operator's file, which names the gateway's socket")
	c.Flags().StringVar(&a.control, "control", "", "the gateway's control socket; any gateway of the fleet will do")
}

// socket is its control socket; a file that is proposed may name it as well.
func (a *at) socket(files ...string) (string, error) {
	if a.control != "" {
		return a.control, nil
	}
	for _, file := range append([]string{a.file}, files...) {
		if file == "" {
			continue
		}
		f, err := source.Read(file)
		if err != nil && file == a.file {
			return "", err
		}
		if err == nil && f.Fleet != nil && f.Fleet.ControlSocket != "" {
			return f.Fleet.ControlSocket, nil
		}
	}
	return "", errors.New("policy: name the gateway's socket by --control, or its file with fleet.control by --operator")
}

func (a *at) ask(c *cobra.Command, q *agent.PolicyRequest, files ...string) (*agent.PolicyReply, error) {
	socket, err := a.socket(files...)
	if err != nil {
		return nil, err
	}
	answer, err := agent.SendPolicyRequest(c.Context(), socket, q)
	if err == nil && answer.Error != "" {
		err = fmt.Errorf("policy %s: %s", q.Operation, answer.Error)
	}
	return answer, err
}

// errNot has the status tell that a change did not take hold.
var errNot = errors.New("nothing has changed")

// ended writes what became of a proposal.
func ended(out io.Writer, file string, r *agent.ProposalResult) error {
	why := r.Reason
	if who, what, ok := strings.Cut(r.Reason, ": "); ok && file != "" && strings.HasPrefix(what, "statements") || strings.HasPrefix(what, "policy") {
		why = who + ": " + source.LocateError(file, what)
	}
	switch r.Outcome {
	case "decided":
		fmt.Fprintf(out, "proposal %08x: number %d is in force everywhere\n", uint32(r.ID>>32), r.Number)
		return nil
	case "rehearsed":
		fmt.Fprintf(out, "proposal %08x: %s\n", uint32(r.ID>>32), why)
		return nil
	}
	return fmt.Errorf("proposal %08x: %s: %s; %w", uint32(r.ID>>32), r.Outcome, why, errNot)
}

// carried has a proposal made, and tells on the way how far it is.
func (a *at) carried(c *cobra.Command, q *agent.PolicyRequest, files ...string) error {
	socket, err := a.socket(files...)
	if err != nil {
		return err
	}
	if q.ID == 0 {
		q.ID = rand.Uint64() | 1
	}
	ctx, stop := context.WithCancel(c.Context())
	defer stop()
	go func() { // what the leader says of it, to the error stream
		last := ""
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(500 * time.Millisecond):
			}
			if s, err := agent.SendPolicyRequest(ctx, socket, &agent.PolicyRequest{Operation: agent.AwaitOperation, ID: q.ID}); err == nil && s.Result != nil && s.Result.Reason != last && s.Result.Outcome == "pending" {
				last = s.Result.Reason
				fmt.Fprintln(c.ErrOrStderr(), last)
			}
		}
	}()
	answer, err := agent.SendPolicyRequest(ctx, socket, q)
	switch {
	case err != nil:
		return fmt.Errorf("%w; whether it took hold is not known: the same with --id %016x tells", err, q.ID)
	case answer.Error != "":
		return errors.New(answer.Error)
	}
	file := ""
	if len(files) > 0 {
		file = files[0]
	}
	return ended(c.OutOrStdout(), file, answer.Result)
}

func proposeCommand(use, short string) *cobra.Command {
	var a at
	var base uint64
	var id string
	var length time.Duration
	c := &cobra.Command{Use: use + " FILE", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := source.ExtractPolicy(args[0])
			if err != nil {
				return err
			}
			q := &agent.PolicyRequest{Operation: agent.PolicyOperation(use), Text: text, BaseNumber: base, DurationMillis: length.Milliseconds()}
			if id != "" {
				if q.ID, err = strconv.ParseUint(id, 16, 64); err != nil {
					return fmt.Errorf("flag id: expected 16 hex digits, found %q", id)
				}
			}
			return a.carried(c, q, args[0])
		}}
	a.flags(c)
	c.Flags().StringVar(&id, "id", "", "the proposal's own, in 16 hex digits, to ask again what became of it; default one is drawn")
	if use == "rehearse" {
		c.Flags().DurationVar(&length, "for", 10*time.Second, "how long")
	} else {
		c.Flags().Uint64Var(&base, "base", 0, "refuse it if another number than this one is in force; default any")
	}
	return c
}

func rollbackCommand() *cobra.Command {
	var a at
	c := &cobra.Command{Use: "rollback N", Short: "Have the policy of an earlier number take hold again, under a number of its own", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("expected a number, found %q", args[0])
			}
			return a.carried(c, &agent.PolicyRequest{Operation: agent.RollbackOperation, Number: n})
		}}
	a.flags(c)
	return c
}

func policyStatus() *cobra.Command {
	var a at
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "What a gateway goes by, and how far a change is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := a.ask(c, &agent.PolicyRequest{Operation: agent.StatusOperation})
			if err != nil {
				return err
			}
			if asJSON {
				out := json.NewEncoder(c.OutOrStdout())
				out.SetIndent("", " ")
				return out.Encode(answer.Status)
			}
			answer.Status.WriteText(c.OutOrStdout())
			return nil
		}}
	a.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return c
}

func policyHistory() *cobra.Command {
	var a at
	c := &cobra.Command{Use: "history", Short: "The policies that were in force, and what became of proposals, as a voter knows them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := a.ask(c, &agent.PolicyRequest{Operation: agent.StatusOperation})
			if err != nil {
				return err
			}
			s, out := answer.Status, c.OutOrStdout()
			if len(s.Records)+len(s.Results) == 0 && !s.IsVoter {
				return fmt.Errorf("policy history: %s doesn't vote and keeps none; ask one of %s", s.Name, strings.Join(s.Voters, ", "))
			}
			s.WriteHistory(out)
			return nil
		}}
	a.flags(c)
	return c
}

func policyText() *cobra.Command {
	var a at
	c := &cobra.Command{Use: "show N", Short: "Print the policy of a number", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := a.policy(c, args[0])
			if err != nil {
				return err
			}
			out := json.NewEncoder(c.OutOrStdout())
			out.SetIndent("", "  ")
			return out.Encode(v)
		}}
	a.flags(c)
	return c
}

// policy is one by its number, or of a file.
func (a *at) policy(c *cobra.Command, what string) (v any, err error) {
	var text []byte
	if n, bad := strconv.ParseUint(what, 10, 64); bad == nil {
		answer, err := a.ask(c, &agent.PolicyRequest{Operation: agent.TextOperation, Number: n})
		if err != nil {
			return nil, err
		}
		text = answer.Text
	} else if text, err = source.ExtractPolicy(what); err != nil {
		return nil, err
	}
	if len(text) == 0 {
		return map[string]any{}, nil
	}
	return v, json.Unmarshal(text, &v)
}

func policyDiff() *cobra.Command {
	var a at
	c := &cobra.Command{Use: "diff A [B]", Short: "What differs between two policies, each a number or a file; B is the one in force unless it is named", Args: cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			first, err := a.policy(c, args[0])
			if err != nil {
				return err
			}
			name := ""
			if len(args) == 2 {
				name = args[1]
			} else {
				answer, err := a.ask(c, &agent.PolicyRequest{Operation: agent.StatusOperation}, args[0])
				if err != nil {
					return err
				}
				name = strconv.FormatUint(answer.Status.Number, 10)
			}
			second, err := a.policy(c, name)
			if err != nil {
				return err
			}
			lines := differ("", first, second)
			for _, l := range lines {
				fmt.Fprintln(c.OutOrStdout(), l)
			}
			if len(lines) == 0 {
				fmt.Fprintln(c.OutOrStdout(), "no difference")
			}
			return nil
		}}
	a.flags(c)
	return c
}

// differ lists the fields in which two values differ, as "path: one -> other". Objects of lists are told by their names, where they have some.
func differ(path string, a, b any) (out []string) {
	x, isX := a.(map[string]any)
	y, isY := b.(map[string]any)
	if isX && isY {
		var names []string
		for n := range x {
			names = append(names, n)
		}
		for n := range y {
			if _, ok := x[n]; !ok {
				names = append(names, n)
			}
		}
		slices.Sort(names)
		for _, n := range names {
			out = append(out, differ(strings.TrimPrefix(path+"."+n, "."), x[n], y[n])...)
		}
		return out
	}
	p, isP := named(a)
	q, isQ := named(b)
	if isP && isQ {
		if both := union(order(p), nil); slices.Equal(slices.Sorted(slices.Values(both)), slices.Sorted(slices.Values(order(q)))) && !slices.Equal(order(p), order(q)) {
			out = append(out, fmt.Sprintf("%s: order %s -> %s", path, strings.Join(order(p), " "), strings.Join(order(q), " ")))
		}
		for _, n := range union(order(p), order(q)) {
			out = append(out, differ(path+"["+n+"]", find(p, n), find(q, n))...)
		}
		return out
	}
	if one, other := plain(a), plain(b); one != other {
		out = append(out, fmt.Sprintf("%s: %s -> %s", path, one, other))
	}
	return out
}

func plain(v any) string {
	if v == nil {
		return "nothing"
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// named are the objects of a list that all have names.
func named(v any) (out []map[string]any, ok bool) {
	list, isList := v.([]any)
	if v == nil {
		return nil, true
	}
	for _, e := range list {
		o, isObject := e.(map[string]any)
		if _, hasName := o["name"].(string); !isObject || !hasName {
			return nil, false
		}
		out = append(out, o)
	}
	return out, isList
}

func find(list []map[string]any, name string) any {
	for _, o := range list {
		if o["name"] == name {
			return o
		}
	}
	return nil
}

func policyVoters() *cobra.Command {
	var a at
	c := &cobra.Command{Use: "voters NAME...", Short: "Have other gateways decide from now on, replaced one at a time; asked of the leader", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			answer, err := a.ask(c, &agent.PolicyRequest{Operation: agent.VotersOperation, Voters: args})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "now %s; policy status tells when they are %s\n", strings.Join(answer.Status.Voters, " "), strings.Join(args, " "))
			return nil
		}}
	a.flags(c)
	return c
}

func policyForce() *cobra.Command {
	var a at
	var yes bool
	c := &cobra.Command{Use: "force NAME...", Short: "After a majority of the voters is lost for good: begin anew with these, from what the gateway that is asked knows", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !yes {
				return errors.New("policy force: what the lost voters decided last may be lost with them, and if they are not gone two groups decide apart: " +
					"make sure that they are ended for good, choose the gateway with the highest number in policy status, and say --yes")
			}
			answer, err := a.ask(c, &agent.PolicyRequest{Operation: agent.ForceOperation, Voters: args})
			if err != nil {
				return err
			}
			s := answer.Status
			fmt.Fprintf(c.OutOrStdout(), "%s begins a new log, from what it knew as number %d; it gives no lease before all that were given have ended\n", s.Name, s.Number)
			return nil
		}}
	a.flags(c)
	c.Flags().BoolVar(&yes, "yes", false, "the lost voters are ended for good")
	return c
}

func order(list []map[string]any) (out []string) {
	for _, o := range list {
		out = append(out, o["name"].(string))
	}
	return out
}

func union(a, b []string) []string {
	out := slices.Clone(a)
	for _, n := range b {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}
