// Package source reads and validates operators' files.
package source

import (
	"errors"
	"fmt"

	"magpiebank/internal/configfile"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/workload"
)

// Read reads and validates a file. Its error has one line, with file, line and field, for each invalid field.
func Read(path string) (*workload.File, error) {
	_, object, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return decode(object)
}

// Parse reads a text as if it were the content of a file of the given name.
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
		// The cluster's policy provides the plan in force. The plan in this file takes effect only if it is proposed.
		plan := &file.Statements.Plan
		file.PlanNeedsProposal = len(plan.Pools)+len(plan.Classes) > 0
		*plan = resourcegroup.Plan{}
	}
	if file.Statements != nil {
		addClusterBudgets(root, file)
	}
	return file, root.Validate()
}

// addClusterBudgets adds the budgets of ClusterWide classes to the quota, or rejects such classes if the file has no quota.
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
