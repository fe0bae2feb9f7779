package configfile

import (
	"sort"
	"strings"
)

// nearestName returns the known name that is most similar to a misspelt name, or "" if none is similar enough.
func nearestName(name string, known map[string]bool) (nearest string) {
	nearestDistance := max(2, len(name)/3) + 1
	var names []string
	for candidate := range known {
		names = append(names, candidate)
	}
	sort.Strings(names)
	for _, candidate := range names {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(candidate)); distance < nearestDistance {
			nearestDistance, nearest = distance, candidate
		}
	}
	return nearest
}

// editDistance returns the Levenshtein distance between two strings, counted in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
