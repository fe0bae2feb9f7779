package experiment

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

//go:embed builtin
var builtin embed.FS

// BuiltinNames returns the names of the built-in experiments.
func BuiltinNames() (names []string) {
	files, err := fs.Glob(builtin, "builtin/*.jsonnet")
	if err != nil {
		panic(err) // the pattern is constant
	}
	for _, file := range files {
		names = append(names, strings.TrimSuffix(filepath.Base(file), ".jsonnet"))
	}
	return names
}

// Find returns the built-in experiment of a name, or else reads the experiment's file at that path.
func Find(name string) (*Experiment, error) {
	text, err := builtin.ReadFile("builtin/" + name + ".jsonnet")
	if err != nil {
		if _, err := os.Stat(name); err != nil {
			return nil, fmt.Errorf("%s: no such file, nor one of the built-in experiments %s", name, strings.Join(BuiltinNames(), ", "))
		}
		return Read(name)
	}
	classes, err := builtin.ReadFile("builtin/lanes.libsonnet")
	if err != nil {
		return nil, err
	}
	// The import of lanes.libsonnet, the only one in built-in files, is expanded here, because the evaluator can't read
	// embedded files.
	expanded := strings.ReplaceAll(string(text), "import 'lanes.libsonnet'", strings.TrimSpace(stripComments(string(classes))))
	return Parse(name+".jsonnet", expanded)
}

// stripComments joins the lines of a text, without those that are comments.
func stripComments(text string) string {
	var lines []string
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(strings.TrimSpace(line), "//") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return strings.Join(lines, " ")
}
