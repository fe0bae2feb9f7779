package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"magpiebank/internal/cluster/agent"
)

func policyStatusCommand() *cobra.Command {
	var gateway gatewayAddress
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "What a gateway goes by, and how far a change is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			reply, err := gateway.send(c, &agent.PolicyRequest{Operation: agent.StatusOperation})
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), reply.Status, " ")
			}
			reply.Status.WriteText(c.OutOrStdout())
			return nil
		}}
	gateway.addFlags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return c
}

func policyHistoryCommand() *cobra.Command {
	var gateway gatewayAddress
	c := &cobra.Command{Use: "history", Short: "The policies that were in force, and what became of proposals, as a voter knows them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			reply, err := gateway.send(c, &agent.PolicyRequest{Operation: agent.StatusOperation})
			if err != nil {
				return err
			}
			status := reply.Status
			if len(status.Records)+len(status.Results) == 0 && !status.IsVoter {
				return fmt.Errorf("policy history: %s doesn't vote and keeps none; ask one of %s", status.Name, strings.Join(status.Voters, ", "))
			}
			status.WriteHistory(c.OutOrStdout())
			return nil
		}}
	gateway.addFlags(c)
	return c
}

func policyVotersCommand() *cobra.Command {
	var gateway gatewayAddress
	c := &cobra.Command{Use: "voters NAME...", Short: "Have other gateways decide from now on, replaced one at a time; asked of the leader", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			reply, err := gateway.send(c, &agent.PolicyRequest{Operation: agent.VotersOperation, Voters: args})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "now %s; policy status tells when they are %s\n", strings.Join(reply.Status.Voters, " "), strings.Join(args, " "))
			return nil
		}}
	gateway.addFlags(c)
	return c
}

func policyForceCommand() *cobra.Command {
	var gateway gatewayAddress
	var confirmed bool
	c := &cobra.Command{Use: "force NAME...", Short: "After a majority of the voters is lost for good: begin anew with these, from what the gateway that is asked knows", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !confirmed {
				return errors.New("policy force: what the lost voters decided last may be lost with them, and if they are not gone two groups decide apart: " +
					"make sure that they are ended for good, choose the gateway with the highest number in policy status, and say --yes")
			}
			reply, err := gateway.send(c, &agent.PolicyRequest{Operation: agent.ForceOperation, Voters: args})
			if err != nil {
				return err
			}
			status := reply.Status
			fmt.Fprintf(c.OutOrStdout(), "%s begins a new log, from what it knew as number %d; it gives no lease before all that were given have ended\n", status.Name, status.Number)
			return nil
		}}
	gateway.addFlags(c)
	c.Flags().BoolVar(&confirmed, "yes", false, "the lost voters are ended for good")
	return c
}
