package configfile

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func readLoadFile(object *Object) {
	object.RequiredText("name")
	object.Number("rate", 1, 0, 100)
	object.Duration("length", time.Second)
	object.Duration("patience", time.Second)
	object.OneOf("kind", "poisson", "poisson", "steady")
	for _, lane := range object.Objects("lanes") {
		lane.RequiredText("name")
		lane.Fraction("share", 1)
		lane.Size("memory", 0)
		lane.Int("groups", 1, 1, 100)
	}
}

// Validate reports errors of every kind, all of them together. Each error names its line and what was expected.
func ExampleObject_Validate() {
	_, object, err := Parse("load.jsonnet", `local base = {
  rate: 500,
  lenhgt: '5s',
};
base {
  patience: 250,
  kind: 'stedy',
  lanes: [
    { name: 'a', share: 'two', groups: 2.5 },
    { name: 'b',
      memory: 64 } + { memory: '64 monkeys' },
    'c',
  ],
}`)
	if err != nil {
		fmt.Println(err)
		return
	}
	readLoadFile(object)
	fmt.Println(object.Validate())
	// Output:
	// load.jsonnet:1: name: expected a text, found nothing
	// load.jsonnet:2: rate: expected a number from 0 to 100, found 500
	// load.jsonnet:3: lenhgt: expected "length" (the nearest known name), found "lenhgt"
	// load.jsonnet:6: patience: expected a time with its unit, as in "250ms" or "1m30s", found 250
	// load.jsonnet:7: kind: expected "steady" (the nearest of poisson, steady), found "stedy"
	// load.jsonnet:9: lanes[0].share: expected a number, found "two"
	// load.jsonnet:9: lanes[0].groups: expected a whole number, found 2.5
	// load.jsonnet:11: lanes[1].memory: expected a size with its unit, as in "64MB", found "64 monkeys"
	// load.jsonnet:12: lanes[2]: expected an object, found "c"
}

// An error of the Jsonnet evaluator is one line, too.
func ExampleParse() {
	for _, text := range []string{"{ a: 1", "{ a: self.b }", "[1]", "import 'none.jsonnet'", "local f(x) = f(x); f(1)"} {
		_, _, err := Parse("load.jsonnet", text)
		fmt.Println(err)
	}
	// Output:
	// load.jsonnet:1:7 Expected a comma before next field
	// load.jsonnet:1:6-12: Field does not exist: b
	// load.jsonnet:1: expected an object, found a list
	// load.jsonnet:1:1-22: couldn't open import "none.jsonnet": no match locally or in the Jsonnet library paths
	// load.jsonnet:1:14-18: max stack frames exceeded.
}

// Imports are resolved relative to the file's directory.
func ExampleRead() {
	dir, err := os.MkdirTemp("", "configfile")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for name, text := range map[string]string{
		"lanes.libsonnet": "[{ name: 'look', memory: '1.5GB' }]",
		"load.jsonnet":    "{ name: 'x', lanes: import 'lanes.libsonnet' }",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			fmt.Println(err)
			return
		}
	}
	_, object, err := Read(filepath.Join(dir, "load.jsonnet"))
	if err != nil {
		fmt.Println(err)
		return
	}
	lane := object.Objects("lanes")[0]
	fmt.Println(object.RequiredText("name"), lane.RequiredText("name"), lane.Size("memory", 0), object.Validate())
	// Output: x look 1610612736 <nil>
}
