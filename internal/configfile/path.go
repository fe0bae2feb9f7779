package configfile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// pathStep is one step of the path to a field: a field name in an object, or an index in a list.
type pathStep struct {
	name    string
	index   int
	isIndex bool
}

// parsePath parses a path such as load.parts[1].rate and returns base followed by its steps.
func parsePath(base []pathStep, text string) []pathStep {
	path := slices.Clone(base)
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		index, err := strconv.Atoi(word)
		if err == nil {
			path = append(path, pathStep{index: index, isIndex: true})
		} else {
			path = append(path, pathStep{name: word})
		}
	}
	return path
}

func formatPath(path []pathStep) string {
	var text strings.Builder
	for i, step := range path {
		switch {
		case step.isIndex:
			fmt.Fprintf(&text, "[%d]", step.index)
		case i > 0:
			text.WriteString("." + step.name)
		default:
			text.WriteString(step.name)
		}
	}
	return text.String()
}
