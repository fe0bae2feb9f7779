package configfile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// parsePath are those of a path in words.
func parsePath(from []any, path string) []any {
	out := slices.Clone(from)
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		if n, err := strconv.Atoi(step); err == nil {
			out = append(out, n)
		} else {
			out = append(out, step)
		}
	}
	return out
}

func formatPath(path []any) string {
	var b strings.Builder
	for i, p := range path {
		switch p := p.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", p)
		case string:
			if i > 0 {
				b.WriteByte('.')
			}
			b.WriteString(p)
		}
	}
	return b.String()
}
