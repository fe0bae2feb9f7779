// Magpiebank-operator is the gateway with an operator's rules: statements read and costed, classes, pools and limits, and a
// fleet of gateways that know of each other. magpiebank turns into it where its command line asks for any of them.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"reflect"

	"github.com/spf13/cobra"

	"magpiebank/internal/cli"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/config"
	"magpiebank/internal/router"
	"magpiebank/internal/workload"
	"magpiebank/internal/workload/source"
)

func main() {
	p := cli.Program{LoadOperatorRules: read, Commands: []*cobra.Command{statementCommand(), fleetCommand(), policyCommand()}}
	os.Exit(p.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// rules are an operator's, with the file that they come from.
type rules struct {
	file  string
	plan  *agent.Config
	log   *slog.Logger
	desk  *workload.Manager // nil: the file has no statements
	fleet *agent.Agent      // nil: it has no fleet, or the site allows no messages
}

// read reads an operator's file for a gateway.
func read(file string, start *config.Config, log *slog.Logger) (cli.OperatorRules, error) {
	f, err := source.Read(file)
	if err != nil {
		return nil, err
	}
	r := &rules{file: file, log: log, plan: f.Fleet}
	if f.Statements == nil && f.Fleet == nil {
		return nil, fmt.Errorf("%s: statements: expected what is to be known of statements, or a fleet, found nothing", file)
	}
	if f.Statements != nil {
		if r.desk, err = workload.NewManager(f.Statements, start, log); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	budgets := f.Fleet != nil && f.Fleet.Quota != nil && (len(f.Fleet.Quota.Names) > 0 || f.Fleet.Policy != nil)
	switch {
	case f.Fleet == nil:
	case !start.Deployment.PeerMessages && budgets:
		return nil, fmt.Errorf("%s: fleet.budgets: what is shared needs messages between gateways, which the site's settings[limits peerMessages] don't allow", file)
	case !start.Deployment.PeerMessages:
		log.Warn("fleet", "code", "not_allowed", "error", "the site's settings[limits peerMessages] don't allow messages between gateways")
	default:
		if r.fleet, err = agent.New(*f.Fleet, start, log); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	if budgets && r.desk != nil {
		r.desk.UseQuota(r.fleet)
	}
	if f.Fleet != nil && f.Fleet.Policy != nil {
		switch {
		case r.desk == nil:
			return nil, fmt.Errorf("%s: statements: expected them to be read, as fleet.policy decides on their classes, found nothing", file)
		case r.fleet == nil:
			return nil, fmt.Errorf("%s: fleet.policy: what the fleet decides needs messages between gateways, which the site's settings[limits peerMessages] don't allow", file)
		}
		r.desk.FollowFleetPolicy(r.fleet, source.ParsePolicy, start.Deployment.Gateways)
		r.fleet.SetPolicyReader(r.desk)
		if f.PolicyProposed {
			log.Info("operator's file", "code", "by_policy", "error", "its pools and classes are gone by once they were proposed: magpiebank policy propose "+file)
		}
	}
	return r, nil
}

func (r *rules) ResourceGroups() router.ResourceGroups {
	if r.desk == nil {
		return nil
	}
	return r.desk
}

func (r *rules) Peers() router.Peers {
	if r.fleet == nil {
		return nil
	}
	return r.fleet
}

// Reload reads the file again.
func (r *rules) Reload() error {
	f, err := source.Read(r.file)
	if err != nil {
		return err
	}
	if err := r.renewFleet(f.Fleet); err != nil {
		return fmt.Errorf("%s: %w", r.file, err)
	}
	if r.desk == nil {
		if f.Statements != nil {
			r.log.Warn("operator's file", "code", "needs_restart", "field", "statements")
		}
		return nil
	}
	r.desk.ReplaceFile(f.Statements)
	return nil
}

// renewFleet goes by other totals of the fleet's classes; what else there is of a fleet stays until a restart.
func (r *rules) renewFleet(next *agent.Config) error {
	if r.fleet != nil && next != nil && r.plan.Quota != nil && next.Quota != nil && !reflect.DeepEqual(next.Quota, r.plan.Quota) {
		if err := r.fleet.ReplaceQuota(next.Quota); err != nil {
			return err
		}
		r.plan.Quota = next.Quota
	}
	if !reflect.DeepEqual(next, r.plan) {
		r.log.Warn("operator's file", "code", "needs_restart", "field", "fleet")
	}
	return nil
}

// Save keeps what was learned of statements.
func (r *rules) SaveLearned() {
	if r.desk != nil {
		r.desk.SaveSnapshot()
	}
}
