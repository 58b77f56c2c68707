package schema

import (
	"strconv"
	"strings"
)

// unknownRemedy returns the remedy for an unknown field: the most similar known
// name if there is one, or the list of all.
func unknownRemedy(name string, known []string) string {
	if near := nearest(name, known); near != "" {
		return "did you mean " + strconv.Quote(near) + "?"
	}
	return "remove it; known fields are " + strings.Join(known, ", ")
}

// nearest returns the known name with the smallest edit distance to name,
// ignoring case, or "" if all distances exceed a third of name's length plus 1.
func nearest(name string, known []string) string {
	best, bestDistance := "", len(name)/3+2
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
