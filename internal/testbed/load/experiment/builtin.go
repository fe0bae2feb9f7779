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

// Names are the built-in experiments.
func Names() (out []string) {
	files, _ := fs.Glob(builtin, "builtin/*.jsonnet")
	for _, f := range files {
		out = append(out, strings.TrimSuffix(filepath.Base(f), ".jsonnet"))
	}
	return out
}

// Find reads an experiment by its file, or by the name of a built-in one.
func Find(name string) (*Experiment, error) {
	text, err := builtin.ReadFile("builtin/" + name + ".jsonnet")
	if err != nil {
		if _, err := os.Stat(name); err != nil {
			return nil, fmt.Errorf("%s: no such file, nor one of the built-in experiments %s", name, strings.Join(Names(), ", "))
		}
		return Read(name)
	}
	lanes, err := builtin.ReadFile("builtin/lanes.libsonnet")
	if err != nil {
		return nil, err
	}
	// The one import that built-in files have is put in its place, as the evaluator reads no embedded files.
	whole := strings.ReplaceAll(string(text), "import 'lanes.libsonnet'", strings.TrimSpace(stripComments(string(lanes))))
	return Parse(name+".jsonnet", whole)
}

func stripComments(text string) string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(strings.TrimSpace(line), "//") {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return strings.Join(out, " ")
}
