package main

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"

	"magpiebank/internal/cli"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/config"
	"magpiebank/internal/router"
	"magpiebank/internal/workload"
	"magpiebank/internal/workload/source"
)

// rules holds an operator's rules for this gateway and the file that they were read from. It implements cli.OperatorRules.
type rules struct {
	file    string
	cluster *agent.Config // configuration in force; nil: the file has no field "fleet"
	log     *slog.Logger
	manager *workload.Manager // nil: the file has no field "statements"
	agent   *agent.Agent      // nil: the file has no field "fleet", or the deployment allows no messages between gateways
}

// loadRules reads an operator's file and returns its rules for a gateway with the configuration start.
func loadRules(file string, start *config.Config, log *slog.Logger) (cli.OperatorRules, error) {
	settings, err := source.Read(file)
	if err != nil {
		return nil, err
	}
	if settings.Statements == nil && settings.Cluster == nil {
		return nil, fmt.Errorf("%s: statements: expected statements or fleet in the file, found nothing", file)
	}
	r := &rules{file: file, log: log, cluster: settings.Cluster}
	if settings.Statements != nil {
		r.manager, err = workload.NewManager(settings.Statements, start, log)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	if settings.Cluster == nil {
		return r, nil
	}
	if err := r.joinCluster(start); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := r.useClusterPolicy(start.Deployment.Gateways, settings.PlanNeedsProposal); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// joinCluster creates the agent if the deployment allows messages between gateways, and connects the budgets that gateways share.
func (r *rules) joinCluster(start *config.Config) error {
	quota := r.cluster.Quota
	hasBudgets := quota != nil && (len(quota.Names) > 0 || r.cluster.Policy != nil)
	if !start.Deployment.PeerMessages {
		if hasBudgets {
			return errors.New("fleet.budgets: shared budgets need messages between gateways, which the site's settings[limits peerMessages] don't allow")
		}
		r.log.Warn("fleet", "code", "not_allowed", "error", "the site's settings[limits peerMessages] don't allow messages between gateways")
		return nil
	}
	newAgent, err := agent.New(*r.cluster, start, r.log)
	if err != nil {
		return err
	}
	r.agent = newAgent
	if hasBudgets && r.manager != nil {
		r.manager.UseQuota(newAgent)
	}
	return nil
}

// useClusterPolicy makes the manager apply the cluster's policy if the file has fleet.policy.
func (r *rules) useClusterPolicy(gateways int, planNeedsProposal bool) error {
	switch {
	case r.cluster.Policy == nil:
		return nil
	case r.manager == nil:
		return errors.New("statements: expected in the file, as fleet.policy decides on classes of statements, found nothing")
	case r.agent == nil:
		return errors.New("fleet.policy: the fleet's decisions need messages between gateways, which the site's settings[limits peerMessages] don't allow")
	}
	r.manager.UseClusterPolicy(r.agent, source.ParsePolicy, gateways)
	r.agent.SetPolicyReader(r.manager)
	if planNeedsProposal {
		r.log.Info("operator's file", "code", "by_policy", "error", "its pools and classes take effect once they are proposed: magpiebank policy propose "+r.file)
	}
	return nil
}

// ResourceGroups returns the manager of the statements' classes, or nil if the file has no field "statements".
func (r *rules) ResourceGroups() router.ResourceGroups {
	if r.manager == nil {
		return nil
	}
	return r.manager
}

// Peers returns the agent that communicates with the other gateways, or nil if there is none.
func (r *rules) Peers() router.Peers {
	if r.agent == nil {
		return nil
	}
	return r.agent
}

// Reload reads the file again and puts its changes in force, except for those that need a restart.
func (r *rules) Reload() error {
	settings, err := source.Read(r.file)
	if err != nil {
		return err
	}
	if err := r.replaceQuota(settings.Cluster); err != nil {
		return fmt.Errorf("%s: %w", r.file, err)
	}
	if r.manager == nil {
		if settings.Statements != nil {
			r.log.Warn("operator's file", "code", "needs_restart", "field", "statements")
		}
		return nil
	}
	r.manager.ReplaceFile(settings.Statements)
	return nil
}

// replaceQuota puts changes to the shared budgets in force. It logs that any other change to the field "fleet" needs a restart.
func (r *rules) replaceQuota(next *agent.Config) error {
	hasQuota := r.agent != nil && next != nil && r.cluster.Quota != nil && next.Quota != nil
	if hasQuota && !reflect.DeepEqual(next.Quota, r.cluster.Quota) {
		if err := r.agent.ReplaceQuota(next.Quota); err != nil {
			return err
		}
		r.cluster.Quota = next.Quota
	}
	if !reflect.DeepEqual(next, r.cluster) {
		r.log.Warn("operator's file", "code", "needs_restart", "field", "fleet")
	}
	return nil
}

// SaveCostModel saves the cost model to the snapshot file, if the operator's file names one.
func (r *rules) SaveCostModel() {
	if r.manager != nil {
		r.manager.SaveSnapshot()
	}
}
