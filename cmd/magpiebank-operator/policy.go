package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/workload/source"
)

// policyCommand changes the policy of all gateways, and shows how that stands.
func policyCommand() *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "The fleet's policy: propose a change, follow it, go back"}
	c.AddCommand(
		proposeCommand("propose", "Have a file's pools and classes take hold at all gateways, or at none"),
		proposeCommand("rehearse", "Have all gateways try a file's pools and classes beside those in force, deciding nothing by them"),
		rollbackCommand(),
		policyStatusCommand(),
		policyHistoryCommand(),
		policyDiffCommand(),
		policyShowCommand(),
		policyVotersCommand(),
		policyForceCommand(),
	)
	return c
}

// gatewayAddress names the gateway that a command asks.
type gatewayAddress struct {
	file    string // an operator's file
	control string // path of the control socket
}

func (g *gatewayAddress) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&g.file, "operator", "", "an operator's file, which names the gateway's socket")
	c.Flags().StringVar(&g.control, "control", "", "the gateway's control socket; any gateway of the fleet will do")
}

// findSocket returns the path of the gateway's control socket. A file that is proposed may name it as well.
func (g *gatewayAddress) findSocket(proposed ...string) (string, error) {
	if g.control != "" {
		return g.control, nil
	}
	for _, file := range append([]string{g.file}, proposed...) {
		if file == "" {
			continue
		}
		settings, err := source.Read(file)
		if err != nil && file == g.file {
			return "", err
		}
		if err == nil && settings.Cluster != nil && settings.Cluster.ControlSocket != "" {
			return settings.Cluster.ControlSocket, nil
		}
	}
	return "", errors.New("policy: name the gateway's socket by --control, or its file with fleet.control by --operator")
}

// send sends a request to the gateway. A refusal of the gateway is an error.
func (g *gatewayAddress) send(c *cobra.Command, request *agent.PolicyRequest, proposed ...string) (*agent.PolicyReply, error) {
	socket, err := g.findSocket(proposed...)
	if err != nil {
		return nil, err
	}
	reply, err := agent.SendPolicyRequest(c.Context(), socket, request)
	if err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, fmt.Errorf("policy %s: %s", request.Operation, reply.Error)
	}
	return reply, nil
}
