package cmds

import (
	"slices"
	"strings"
)

// maxDiffLines is the number of lines up to which the differing parts of two texts are compared
// line by line, as the time and the memory for that grow with the product of the lengths.
const maxDiffLines = 4000

// lineDiff returns the part of two texts from the first to the last differing line. Lines are
// prefixed with "- " if they are only in before, with "+ " if they are only in after, and with
// two spaces if they are in both. If the part is longer than maxDiffLines in one of the texts,
// all its lines count as different. It returns an empty string for equal texts.
func lineDiff(before, after []byte) string {
	a, b := splitLines(before), splitLines(after)
	prefix := 0
	for prefix < min(len(a), len(b)) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(a), len(b))-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	a, b = a[prefix:len(a)-suffix], b[prefix:len(b)-suffix]
	var out strings.Builder
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		writeMarked(&out, "-", a)
		writeMarked(&out, "+", b)
		return out.String()
	}
	writeDiff(&out, a, b)
	return out.String()
}

// splitLines splits a text into lines. An empty text has no lines.
func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// writeMarked writes each line prefixed with sign and a space.
func writeMarked(out *strings.Builder, sign string, list []string) {
	for _, line := range list {
		out.WriteString(sign + " " + line + "\n")
	}
}

// writeDiff writes the difference of two lists of lines along their longest common subsequence.
func writeDiff(out *strings.Builder, a, b []string) {
	lengths := lcsLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			writeMarked(out, " ", a[i:i+1])
			i++
			j++
		case j == len(b) || (i < len(a) && lengths[i+1][j] >= lengths[i][j+1]):
			writeMarked(out, "-", a[i:i+1])
			i++
		default:
			writeMarked(out, "+", b[j:j+1])
			j++
		}
	}
}

// lcsLengths returns a table whose element [i][j] is the length of the longest common
// subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}
	for i, line := range slices.Backward(a) {
		for j, other := range slices.Backward(b) {
			if line == other {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}
