package delta

import (
	"bytes"
	"encoding/binary"
)

// maxLines bounds the memory for line indexes to a few megabytes. A text with
// more lines is encoded as one line.
const maxLines = 1 << 15

// writer produces the operations of one delta. A copy is held back so that
// adjacent copies become one operation.
type writer struct {
	before, after           [][]byte
	startBefore, startAfter []int // byte offset of each line, and of the end
	text                    []byte
	ops                     []byte
	copyFrom, copyLength    int
	position                int // in the older text, after the last written copy
	insertFrom, insertTo    int // held back insert, as offsets in text
}

func newWriter(before, after []byte) *writer {
	w := &writer{before: [][]byte{before}, after: [][]byte{after}, text: after}
	if lineFeeds(before) < maxLines && lineFeeds(after) < maxLines {
		w.before, w.after = SplitLines(before), SplitLines(after)
	}
	w.startBefore, w.startAfter = offsets(w.before), offsets(w.after)
	return w
}

func lineFeeds(text []byte) int { return bytes.Count(text, []byte{'\n'}) }

func offsets(lines [][]byte) []int {
	starts := make([]int, len(lines)+1)
	for i, l := range lines {
		starts[i+1] = starts[i] + len(l)
	}
	return starts
}

// write emits the size of the result and all operations.
func (w *writer) write() {
	w.ops = binary.AppendUvarint(nil, uint64(len(w.text)))
	nextBefore, nextAfter := 0, 0
	for _, r := range CommonLines(w.before, w.after) {
		w.gap(nextBefore, r.Before, nextAfter, r.After)
		start := w.startBefore[r.Before]
		w.copy(start, w.startBefore[r.Before+r.Length]-start)
		nextBefore, nextAfter = r.Before+r.Length, r.After+r.Length
	}
	w.gap(nextBefore, len(w.before), nextAfter, len(w.after))
	w.flushCopy()
	w.flushInsert()
}

// gap emits the lines of after without an equal line. If the gap has as many
// lines in before, each is taken as an edit of the line in its place.
func (w *writer) gap(fromBefore, toBefore, fromAfter, toAfter int) {
	if toBefore-fromBefore != toAfter-fromAfter {
		w.insert(w.startAfter[fromAfter], w.startAfter[toAfter])
		return
	}
	for i := range toAfter - fromAfter {
		w.edit(fromBefore+i, fromAfter+i)
	}
}

// edit emits one changed line: the common start, what differs, the common end.
func (w *writer) edit(lineBefore, lineAfter int) {
	a, b := w.before[lineBefore], w.after[lineAfter]
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	startA, startB := w.startBefore[lineBefore], w.startAfter[lineAfter]
	w.copy(startA, prefix)
	w.insert(startB+prefix, startB+len(b)-suffix)
	w.copy(startA+len(a)-suffix, suffix)
}

func (w *writer) copy(from, length int) {
	if length == 0 {
		return
	}
	w.flushInsert()
	if w.copyLength > 0 && w.copyFrom+w.copyLength == from {
		w.copyLength += length
		return
	}
	w.flushCopy()
	w.copyFrom, w.copyLength = from, length
}

func (w *writer) insert(from, to int) {
	if from == to {
		return
	}
	w.flushCopy()
	if w.insertTo == from && w.insertFrom < w.insertTo {
		w.insertTo = to
		return
	}
	w.flushInsert()
	w.insertFrom, w.insertTo = from, to
}

func (w *writer) flushCopy() {
	if w.copyLength == 0 {
		return
	}
	w.ops = binary.AppendUvarint(w.ops, uint64(w.copyLength)<<1|opCopy)
	w.ops = binary.AppendVarint(w.ops, int64(w.copyFrom-w.position))
	w.position = w.copyFrom + w.copyLength
	w.copyLength = 0
}

func (w *writer) flushInsert() {
	if w.insertFrom == w.insertTo {
		return
	}
	w.ops = binary.AppendUvarint(w.ops, uint64(w.insertTo-w.insertFrom)<<1|opInsert)
	w.ops = append(w.ops, w.text[w.insertFrom:w.insertTo]...)
	w.insertFrom = w.insertTo
}
