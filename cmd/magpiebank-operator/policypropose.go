package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/workload/source"
)

// progressInterval is the time between two requests for the progress of a proposal.
const progressInterval = 500 * time.Millisecond

// errNothingChanged marks the error of a command whose proposal failed: the gateways work, but the proposed change is not in force.
var errNothingChanged = errors.New("nothing has changed")

// proposeCommand returns the command "propose" or "rehearse", which proposes or rehearses the policy in a file.
func proposeCommand(use, short string) *cobra.Command {
	var gateway gatewayAddress
	var base uint64
	var id string
	var length time.Duration
	c := &cobra.Command{Use: use + " FILE", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := source.ExtractPolicy(args[0])
			if err != nil {
				return err
			}
			request := &agent.PolicyRequest{Operation: agent.PolicyOperation(use), Text: text, BaseNumber: base, DurationMillis: length.Milliseconds()}
			if id != "" {
				request.ID, err = strconv.ParseUint(id, 16, 64)
				if err != nil {
					return fmt.Errorf("flag id: expected 16 hex digits, found %q", id)
				}
			}
			return gateway.propose(c, request, args[0])
		}}
	gateway.addFlags(c)
	c.Flags().StringVar(&id, "id", "", "the proposal's ID, in 16 hex digits; repeat a command with the same ID to learn the proposal's result; default random")
	if use == "rehearse" {
		c.Flags().DurationVar(&length, "for", 10*time.Second, "length of the rehearsal")
	} else {
		c.Flags().Uint64Var(&base, "base", 0, "reject the proposal unless the policy with this number is in force; default any")
	}
	return c
}

func rollbackCommand() *cobra.Command {
	var gateway gatewayAddress
	c := &cobra.Command{Use: "rollback N", Short: "Put the policy of an earlier number in force again, under a new number", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("expected a number, found %q", args[0])
			}
			return gateway.propose(c, &agent.PolicyRequest{Operation: agent.RollbackOperation, Number: number}, "")
		}}
	gateway.addFlags(c)
	return c
}

// propose sends a proposal, reports its progress and waits for its result. file is the operator's file whose policy is proposed; empty:
// the proposal isn't from a file.
func (g *gatewayAddress) propose(c *cobra.Command, request *agent.PolicyRequest, file string) error {
	socket, err := g.findSocket(file)
	if err != nil {
		return err
	}
	if request.ID == 0 {
		request.ID = rand.Uint64() | 1
	}
	ctx, stop := context.WithCancel(c.Context())
	var reporter sync.WaitGroup
	reporter.Go(func() { reportProgress(ctx, socket, request.ID, c.ErrOrStderr()) })
	reply, err := agent.SendPolicyRequest(ctx, socket, request)
	stop()
	reporter.Wait()
	switch {
	case err != nil:
		return fmt.Errorf("%w; the result of the proposal is unknown: repeat the command with --id %016x to learn it", err, request.ID)
	case reply.Error != "":
		return errors.New(reply.Error)
	}
	return writeResult(c.OutOrStdout(), file, reply.Result)
}

// reportProgress writes the progress of a pending proposal, as the leader reports it, until the context is done.
func reportProgress(ctx context.Context, socket string, id uint64, out io.Writer) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	reported := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		reply, err := agent.SendPolicyRequest(ctx, socket, &agent.PolicyRequest{Operation: agent.AwaitOperation, ID: id})
		if err != nil || reply.Result == nil || reply.Result.Outcome != agent.PendingOutcome || reply.Result.Reason == reported {
			continue
		}
		reported = reply.Result.Reason
		fmt.Fprintln(out, reported)
	}
}

// writeResult writes the result of a proposal. If the proposal failed, it returns an error that wraps errNothingChanged.
func writeResult(out io.Writer, file string, result *agent.ProposalResult) error {
	reason := result.Reason
	gateway, fault, ok := strings.Cut(reason, ": ")
	if ok && file != "" && strings.HasPrefix(fault, "statements") || strings.HasPrefix(fault, "policy") {
		reason = gateway + ": " + source.LocateError(file, fault)
	}
	id := uint32(result.ID >> 32)
	switch result.Outcome {
	case agent.DecidedOutcome:
		fmt.Fprintf(out, "proposal %08x: number %d is in force everywhere\n", id, result.Number)
		return nil
	case agent.RehearsedOutcome:
		fmt.Fprintf(out, "proposal %08x: %s\n", id, reason)
		return nil
	}
	return fmt.Errorf("proposal %08x: %s: %s; %w", id, result.Outcome, reason, errNothingChanged)
}
