package text

import "bytes"

// CommonBlock is a block of lines that two texts have in common: Length lines
// from line Before of the older text equal those from line After of the newer
// text. Lines are counted from 0.
type CommonBlock struct {
	Before, After, Length int
}

// CommonLines returns the blocks of equal lines in ascending order of After,
// without overlap in the newer text. It also finds moved blocks, so Before need
// not ascend. Time and memory are linear in the number of lines: the common
// prefix and suffix are split off, and a line between them is matched with the
// line that continues the previous block, or else with its first occurrence.
func CommonLines(before, after [][]byte) []CommonBlock {
	prefix := 0
	for prefix < len(before) && prefix < len(after) && bytes.Equal(before[prefix], after[prefix]) {
		prefix++
	}
	suffix := 0
	for suffix < len(before)-prefix && suffix < len(after)-prefix &&
		bytes.Equal(before[len(before)-1-suffix], after[len(after)-1-suffix]) {
		suffix++
	}
	var blocks []CommonBlock
	if prefix > 0 {
		blocks = append(blocks, CommonBlock{Length: prefix})
	}
	blocks = appendMiddle(blocks, before, after, prefix, suffix)
	if suffix > 0 {
		blocks = append(blocks, CommonBlock{Before: len(before) - suffix, After: len(after) - suffix, Length: suffix})
	}
	return blocks
}

// appendMiddle appends the common blocks between the common prefix and suffix.
func appendMiddle(blocks []CommonBlock, before, after [][]byte, prefix, suffix int) []CommonBlock {
	endBefore, endAfter := len(before)-suffix, len(after)-suffix
	if prefix == endBefore || prefix == endAfter {
		return blocks
	}
	first := make(map[string]int, endBefore-prefix)
	for i := endBefore - 1; i >= prefix; i-- {
		first[string(before[i])] = i
	}
	next := prefix // line of before that follows the last block
	for j := prefix; j < endAfter; {
		i, ok := next, next < endBefore && bytes.Equal(before[next], after[j])
		if !ok {
			i, ok = first[string(after[j])]
		}
		if !ok {
			j++
			continue
		}
		n := 1
		for i+n < endBefore && j+n < endAfter && bytes.Equal(before[i+n], after[j+n]) {
			n++
		}
		blocks = append(blocks, CommonBlock{Before: i, After: j, Length: n})
		next, j = i+n, j+n
	}
	return blocks
}
