package configfile

import (
	"sort"
	"strings"
)

// nearestName returns the known name that a misspelt one is nearest to, "" if none is near.
func nearestName(name string, known map[string]bool) (best string) {
	least := max(2, len(name)/3) + 1
	var names []string
	for k := range known {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < least {
			least, best = d, k
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two texts, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := last
			if a[i] != b[j] {
				change++
			}
			last = row[j+1]
			row[j+1] = min(change, row[j]+1, last+1)
		}
	}
	return row[len(b)]
}
