package source

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The extracted policy has only the file's pools, classes and requirements, and errors in it name the line in the file.
func TestExtractedPolicyHasPoolsClassesAndRequirementsOnly(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.jsonnet")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`local n = 6;
{ fleet: { listen: '10.0.0.3:7100', key: 'k', policy: { voters: ['g0'], folder: 'f' } },
  statements: { memory: '4MB',
    pools: [{ name: 'n', zones: ['norte'] }],
    classes: [{ name: 'loads', when: { lanes: ['load'] }, pool: 'n', threads: 2 * n }] },
  policy: { silent: 'both', both_for: '10s', probation: { length: '20s', held_above: 0.1 } } }`)
	text, err := ExtractPolicy(file)
	want := `{"policy":{"both_for":"10s","probation":{"held_above":0.1,"length":"20s"},"silent":"both"},"statements":{"classes":[{"name":"loads","pool":"n","threads":12,"when":{"lanes":["load"]}}],"pools":[{"name":"n","zones":["norte"]}]}}`
	if err != nil || string(text) != want {
		t.Fatalf("%v\n%s\nexpected\n%s", err, text, want)
	}
	p, err := ParsePolicy(text)
	if err != nil || len(p.Plan.Classes) != 1 || p.Requirements.Overlap != 100000 || p.Requirements.ProbationBounds.Shed != 0.1 || p.Requirements.ProbationBounds.Rejected != 1 {
		t.Errorf("%v: %+v", err, p)
	}
	f, err := Read(file)
	if err != nil || !f.PlanNeedsProposal || len(f.Statements.Plan.Classes) > 0 || f.Statements.MemoryBytes != 4<<20 {
		t.Errorf("%v: %+v", err, f)
	}
	if got := LocateError(file, "statements.pools[0].zones: expected some of [\"sur\"], which this site has, found \"norte\""); !strings.HasPrefix(got, file+":4: statements.pools[0].zones: expected") {
		t.Error(got)
	}
	write("{ statements: {\n classes: [{ name: 'a', thread: 2 }],\n }, policy: { silent: 'booth' } }")
	if _, err := ExtractPolicy(file); err == nil || !strings.HasPrefix(err.Error(), file+":2: ") && !strings.HasPrefix(err.Error(), file+":3: ") {
		t.Error(err)
	}
}

// Errors in the parts of a file that concern the cluster's policy.
func ExampleParse_policy() {
	for _, text := range []string{
		"{ fleet: { listen: '10.0.0.3:7100', key: 'k', policy: { voters: ['g0', 'g1'], lease: '1ms' } } }",
		"{ fleet: { listen: '10.0.0.3:7100', key: 'k', policy: { voters: ['g0'] }, budgets: { keepers: ['g0'], number: 2 } } }",
		"{ policy: { silent: 'both' } }",
		"{ fleet: { listen: '10.0.0.3:7100', key: 'k', policy: { voters: ['g0'] } }, policy: { both_for: '5s', rehearse: { refused_above: 2 } } }",
	} {
		_, err := Parse("operator.jsonnet", text)
		fmt.Println(err)
	}
	// Output:
	// operator.jsonnet:1: fleet.policy.voters: expected the names of 3, 5 or 7 gateways, or of one, found ["g0","g1"]
	// operator.jsonnet:1: fleet.policy.lease: expected a time from "1s" to "1m", found "1ms"
	// operator.jsonnet:1: fleet.budgets.number: expected none where there is fleet.policy: totals follow the policy's number, found 2
	// operator.jsonnet:1: policy: expected fleet.policy in the file, by which it takes hold, found nothing
	// operator.jsonnet:1: policy.both_for: expected none but with silent: "both", found "5s"
	// operator.jsonnet:1: policy.rehearse.refused_above: expected a number from 0 to 1, found 2
}
