package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/workload/source"
)

func policyShowCommand() *cobra.Command {
	var gateway gatewayAddress
	c := &cobra.Command{Use: "show N", Short: "Print the policy that has the given number", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			policy, err := gateway.readPolicy(c, args[0])
			if err != nil {
				return err
			}
			return writeJSON(c.OutOrStdout(), policy, "  ")
		}}
	gateway.addFlags(c)
	return c
}

func policyDiffCommand() *cobra.Command {
	var gateway gatewayAddress
	c := &cobra.Command{Use: "diff A [B]", Short: "Print the differences between two policies, each a number or a file; B is by default the one in force", Args: cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := gateway.diff(c, args)
			if err != nil {
				return err
			}
			for _, line := range lines {
				fmt.Fprintln(c.OutOrStdout(), line)
			}
			if len(lines) == 0 {
				fmt.Fprintln(c.OutOrStdout(), "no difference")
			}
			return nil
		}}
	gateway.addFlags(c)
	return c
}

// diff lists the differences between two policies, each a number or a file. The second one is by default the policy in force.
func (g *gatewayAddress) diff(c *cobra.Command, policies []string) ([]string, error) {
	first, err := g.readPolicy(c, policies[0])
	if err != nil {
		return nil, err
	}
	if len(policies) == 1 {
		reply, err := g.send(c, &agent.PolicyRequest{Operation: agent.StatusOperation}, policies[0])
		if err != nil {
			return nil, err
		}
		policies = append(policies, strconv.FormatUint(reply.Status.Number, 10))
	}
	second, err := g.readPolicy(c, policies[1])
	if err != nil {
		return nil, err
	}
	return listDifferences("", first, second), nil
}

// readPolicy returns a policy as decoded JSON: from the gateway by its number, or from a file.
func (g *gatewayAddress) readPolicy(c *cobra.Command, numberOrFile string) (policy any, err error) {
	var text []byte
	number, err := strconv.ParseUint(numberOrFile, 10, 64)
	if err == nil {
		reply, err := g.send(c, &agent.PolicyRequest{Operation: agent.TextOperation, Number: number})
		if err != nil {
			return nil, err
		}
		text = reply.Text
	} else {
		text, err = source.ExtractPolicy(numberOrFile)
		if err != nil {
			return nil, err
		}
	}
	if len(text) == 0 {
		return map[string]any{}, nil
	}
	return policy, json.Unmarshal(text, &policy)
}

// listDifferences lists the fields in which two decoded JSON values differ, as "path: one -> other". If all elements of two lists are
// objects with names, it compares those that have the same name.
func listDifferences(path string, a, b any) (lines []string) {
	objectA, isObjectA := a.(map[string]any)
	objectB, isObjectB := b.(map[string]any)
	if isObjectA && isObjectB {
		fields := union(slices.Collect(maps.Keys(objectA)), slices.Collect(maps.Keys(objectB)))
		slices.Sort(fields)
		for _, field := range fields {
			lines = append(lines, listDifferences(strings.TrimPrefix(path+"."+field, "."), objectA[field], objectB[field])...)
		}
		return lines
	}
	listA, isNamedA := namedObjects(a)
	listB, isNamedB := namedObjects(b)
	if isNamedA && isNamedB {
		return listNamedDifferences(path, listA, listB)
	}
	if textA, textB := formatValue(a), formatValue(b); textA != textB {
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, textA, textB))
	}
	return lines
}

// listNamedDifferences lists the differences between two lists of named objects. If both have the same names in a different order, it
// lists that as well.
func listNamedDifferences(path string, a, b []namedObject) (lines []string) {
	namesA, namesB := objectNames(a), objectNames(b)
	sameNames := slices.Equal(slices.Sorted(slices.Values(union(namesA, nil))), slices.Sorted(slices.Values(namesB)))
	if sameNames && !slices.Equal(namesA, namesB) {
		lines = append(lines, fmt.Sprintf("%s: order %s -> %s", path, strings.Join(namesA, " "), strings.Join(namesB, " ")))
	}
	for _, name := range union(namesA, namesB) {
		lines = append(lines, listDifferences(path+"["+name+"]", findObject(a, name), findObject(b, name))...)
	}
	return lines
}

// namedObject is an element of a list: an object with a field "name".
type namedObject struct {
	name   string
	fields map[string]any
}

// namedObjects returns the elements of a list. ok is false if the value isn't a list or if an element isn't an object with a name; nil
// counts as an empty list.
func namedObjects(value any) (objects []namedObject, ok bool) {
	if value == nil {
		return nil, true
	}
	list, ok := value.([]any)
	for _, element := range list {
		fields, isObject := element.(map[string]any)
		name, hasName := fields["name"].(string)
		if !isObject || !hasName {
			return nil, false
		}
		objects = append(objects, namedObject{name, fields})
	}
	return objects, ok
}

// findObject returns the fields of the object with the given name, or nil if there is none.
func findObject(objects []namedObject, name string) any {
	for _, object := range objects {
		if object.name == name {
			return object.fields
		}
	}
	return nil
}

func objectNames(objects []namedObject) (out []string) {
	for _, object := range objects {
		out = append(out, object.name)
	}
	return out
}

func union(a, b []string) []string {
	out := slices.Clone(a)
	for _, name := range b {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

func formatValue(value any) string {
	if value == nil {
		return "nothing"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
