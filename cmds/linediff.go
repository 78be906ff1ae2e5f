package cmds

import (
	"slices"
	"strings"
)

// maxDiffLines bounds the lines that are compared one with each other.
const maxDiffLines = 4000

// lineDiff returns the lines that differ between two texts, marked with "-" and
// "+", with the lines between them marked with " ". It is empty for equal texts.
func lineDiff(before, after []byte) string {
	a, b := splitLines(before), splitLines(after)
	head := 0
	for head < min(len(a), len(b)) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < min(len(a), len(b))-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	a, b = a[head:len(a)-tail], b[head:len(b)-tail]
	var out strings.Builder
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		writeMarked(&out, "-", a)
		writeMarked(&out, "+", b)
		return out.String()
	}
	writeDiff(&out, a, b)
	return out.String()
}

// lines splits a text; the empty text has none.
func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

func writeMarked(out *strings.Builder, sign string, list []string) {
	for _, line := range list {
		out.WriteString(sign + " " + line + "\n")
	}
}

// writeDiff walks the longest common subsequence of lines.
func writeDiff(out *strings.Builder, a, b []string) {
	common := lcsLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			writeMarked(out, " ", a[i:i+1])
			i++
			j++
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			writeMarked(out, "-", a[i:i+1])
			i++
		default:
			writeMarked(out, "+", b[j:j+1])
			j++
		}
	}
}

// commonLengths returns, for each pair of places, the length of the longest
// common subsequence of what follows.
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
