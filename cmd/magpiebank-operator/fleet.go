package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/workload/source"
)

// fleetCommand returns the command "fleet", which shows what a gateway knows about the other gateways.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Show what a gateway knows about the other gateways"}
	c.AddCommand(
		gatewayStatusCommand("status", "Members with their age and state; budgets and counts; engines with the evidence of this gateway and of others", (*agent.Status).WriteText),
		gatewayStatusCommand("budgets", "Budgets of the whole fleet: units held, used and lent by each member, and counts by class", (*agent.Status).WriteBudgets),
	)
	return c
}

// gatewayStatusCommand returns a command that requests a gateway's status and writes it.
func gatewayStatusCommand(use, short string, writeText func(*agent.Status, io.Writer)) *cobra.Command {
	var file, control string
	var asJSON bool
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			socket, err := findControlSocket(control, file)
			if err != nil {
				return err
			}
			if socket == "" {
				return fmt.Errorf("fleet %s: name the gateway's socket by --control, or its file with fleet.control by --operator", use)
			}
			status, err := agent.FetchStatus(socket)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), status, " ")
			}
			writeText(status, c.OutOrStdout())
			return nil
		}}
	c.Flags().StringVar(&file, "operator", "", "the operator's file, which names the socket")
	c.Flags().StringVar(&control, "control", "", "the gateway's control socket")
	c.Flags().BoolVar(&asJSON, "json", false, "print the state as JSON")
	return c
}

// findControlSocket returns control if it is set, or else the control socket that an operator's file names; empty: there is none.
func findControlSocket(control, file string) (string, error) {
	if control != "" || file == "" {
		return control, nil
	}
	settings, err := source.Read(file)
	if err != nil || settings.Cluster == nil {
		return "", err
	}
	return settings.Cluster.ControlSocket, nil
}
