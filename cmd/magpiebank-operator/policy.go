package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/workload/source"
)

// policyCommand returns the command "policy", which changes the policy of all gateways and shows the state of such changes.
func policyCommand() *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "Manage the fleet's policy: propose a change, watch its rollout, roll back"}
	c.AddCommand(
		proposeCommand("propose", "Put a file's pools and classes in force at all gateways, or at none"),
		proposeCommand("rehearse", "Have all gateways evaluate a file's pools and classes besides those in force, without any effect on requests"),
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

// gatewayAddress identifies the gateway to which a command sends its request.
type gatewayAddress struct {
	file    string // path of an operator's file that names the control socket
	control string // path of the control socket; it takes precedence over file
}

func (g *gatewayAddress) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&g.file, "operator", "", "an operator's file, which names the gateway's socket")
	c.Flags().StringVar(&g.control, "control", "", "the gateway's control socket; any gateway of the fleet will do")
}

// findSocket returns the path of the gateway's control socket. If no flag leads to one, it is taken from the first
// proposed file that names one.
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

// send sends a request to the gateway and returns its reply. A reply that reports an error is returned as an error. findSocket says what
// the proposed files are for.
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
