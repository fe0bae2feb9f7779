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
	c := &cobra.Command{Use: "status", Short: "Print the policy that a gateway applies, and the progress of a change", Args: cobra.NoArgs,
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
	c.Flags().BoolVar(&asJSON, "json", false, "print the status as JSON")
	return c
}

func policyHistoryCommand() *cobra.Command {
	var gateway gatewayAddress
	c := &cobra.Command{Use: "history", Short: "Print the policies that were in force, and the results of proposals, as a voter knows them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			reply, err := gateway.send(c, &agent.PolicyRequest{Operation: agent.StatusOperation})
			if err != nil {
				return err
			}
			status := reply.Status
			if len(status.Records)+len(status.Results) == 0 && !status.IsVoter {
				return fmt.Errorf("policy history: %s isn't a voter and stores no history; send the command to one of %s", status.Name, strings.Join(status.Voters, ", "))
			}
			status.WriteHistory(c.OutOrStdout())
			return nil
		}}
	gateway.addFlags(c)
	return c
}

func policyVotersCommand() *cobra.Command {
	var gateway gatewayAddress
	c := &cobra.Command{Use: "voters NAME...", Short: "Replace the voters by other gateways, one at a time; send this command to the leader", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			reply, err := gateway.send(c, &agent.PolicyRequest{Operation: agent.VotersOperation, Voters: args})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "voters are now %s; policy status shows when they are %s\n", strings.Join(reply.Status.Voters, " "), strings.Join(args, " "))
			return nil
		}}
	gateway.addFlags(c)
	return c
}

func policyForceCommand() *cobra.Command {
	var gateway gatewayAddress
	var confirmed bool
	c := &cobra.Command{Use: "force NAME...", Short: "After a majority of the voters is permanently lost: start over with these voters, from the state of the gateway that gets the command", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !confirmed {
				return errors.New("policy force: the last decisions of the lost voters may be lost, and if these voters still run, two groups decide independently: " +
					"make sure that they are permanently stopped, choose the gateway with the highest number in policy status, and add --yes")
			}
			reply, err := gateway.send(c, &agent.PolicyRequest{Operation: agent.ForceOperation, Voters: args})
			if err != nil {
				return err
			}
			status := reply.Status
			fmt.Fprintf(c.OutOrStdout(), "%s starts a new log from the policy that it has, number %d; it grants no lease until all earlier leases have expired\n", status.Name, status.Number)
			return nil
		}}
	gateway.addFlags(c)
	c.Flags().BoolVar(&confirmed, "yes", false, "the lost voters are permanently stopped")
	return c
}
