// Package source reads the operator's file.
package source

import (
	"errors"
	"fmt"

	"magpiebank/internal/configfile"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/workload"
)

// Read reads a file. Its error lists all that is wrong in the file, a line each with file, line and field.
func Read(path string) (*workload.File, error) {
	_, object, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return decode(object)
}

// Parse reads a text as a file of the given name would be read.
func Parse(name, text string) (*workload.File, error) {
	_, object, err := configfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	return decode(object)
}

func decode(root *configfile.Object) (*workload.File, error) {
	file := &workload.File{}
	if statements := root.Object("statements"); statements != nil {
		file.Statements = readStatements(statements)
	}
	if cluster := root.Object("fleet"); cluster != nil {
		file.Cluster = readCluster(cluster)
	}
	hasClusterPolicy := file.Cluster != nil && file.Cluster.Policy != nil
	if policy := root.Object("policy"); policy != nil {
		if !hasClusterPolicy {
			root.RejectError(errors.New("policy: expected fleet.policy in the file, by which it takes hold, found nothing"))
		}
		readRequirements(policy)
	}
	if file.Statements != nil && hasClusterPolicy {
		// The plan in force is the one that the fleet has decided on, which this one is only proposed for.
		plan := &file.Statements.Plan
		file.PlanNeedsProposal = len(plan.Pools)+len(plan.Classes) > 0
		*plan = resourcegroup.Plan{}
	}
	if file.Statements != nil {
		addClusterBudgets(root, file)
	}
	return file, root.Validate()
}

// addClusterBudgets has the gateways share the budgets of fleet-wide classes.
func addClusterBudgets(root *configfile.Object, file *workload.File) {
	plan := &file.Statements.Plan
	if file.Cluster != nil && file.Cluster.Quota != nil {
		quota := file.Cluster.Quota
		names, totals := plan.ClusterBudgets()
		quota.Names = append(quota.Names, names...)
		quota.Totals = append(quota.Totals, totals...)
		return
	}
	for i := range plan.Classes {
		if plan.Classes[i].ClusterWide {
			root.RejectError(fmt.Errorf("statements.classes[%d].fleet: expected fleet.budgets in the file, by which gateways share it, found nothing", i))
		}
	}
}
