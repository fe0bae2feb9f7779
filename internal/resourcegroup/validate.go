package resourcegroup

import (
	"fmt"
	"slices"
)

// PlanError describes an invalid field of a plan.
type PlanError struct {
	Field  string // path in the operator's file, such as statements.pools[0].zones
	Reason string // what was expected and what was found
}

func (e *PlanError) Error() string { return e.Field + ": " + e.Reason }

func classField(i int, name string) string { return fmt.Sprintf("statements.classes[%d].%s", i, name) }
func poolField(i int, name string) string  { return fmt.Sprintf("statements.pools[%d].%s", i, name) }

func planError(field string, format string, args ...any) error {
	return &PlanError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *PlanError if the plan is invalid for a site with the given zones and machine kinds.
func (p *Plan) Validate(zones, kinds []string) error {
	_, err := p.resolvePools(zones, kinds)
	return err
}

// resolvePools validates the plan and returns its pools with the numbers of their zones and kinds.
func (p *Plan) resolvePools(zones, kinds []string) ([]pool, error) {
	pools := make([]pool, len(p.Pools))
	for i := range p.Pools {
		resolved := &pools[i]
		resolved.Pool = p.Pools[i]
		resolved.inUse = true
		var err error
		resolved.zoneNumbers, err = resolveNames(resolved.Zones, zones, poolField(i, "zones"))
		if err != nil {
			return nil, err
		}
		resolved.kindNumbers, err = resolveNames(resolved.Kinds, kinds, poolField(i, "kinds"))
		if err != nil {
			return nil, err
		}
	}
	return pools, p.validateNames()
}

// resolveNames returns the indexes of names in the site's list of names. field is the field that an error refers to.
func resolveNames(names, siteNames []string, field string) (numbers []int, err error) {
	for _, name := range names {
		number := slices.Index(siteNames, name)
		if number < 0 {
			return nil, planError(field, "expected some of %q, which this site has, found %q", siteNames, name)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// validateNames checks the number of classes, that no name is empty or used twice, and that classes refer to pools of the plan.
func (p *Plan) validateNames() error {
	last := len(p.Classes) - 1
	hasUnclassifiedClass := len(p.Classes) == MaxClasses+1 && p.Classes[last].Name == UnclassifiedClass
	if len(p.Classes) > MaxClasses && !hasUnclassifiedClass {
		return planError("statements.classes", "expected at most %d, found %d", MaxClasses, len(p.Classes))
	}
	pools := map[string]bool{}
	for i, pool := range p.Pools {
		if pool.Name == "" || pools[pool.Name] {
			return planError(poolField(i, "name"), "expected a name of its own, found %q", pool.Name)
		}
		pools[pool.Name] = true
	}
	classes := map[string]bool{}
	for i, class := range p.Classes {
		if class.Name == "" || classes[class.Name] {
			return planError(classField(i, "name"), "expected a name of its own, found %q", class.Name)
		}
		classes[class.Name] = true
		if class.Pool != "" && !pools[class.Pool] {
			return planError(classField(i, "pool"), "expected the name of one of the pools, found %q", class.Pool)
		}
	}
	return nil
}
