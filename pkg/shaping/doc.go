// Package shaping shares the bandwidth of a VM's link among large answers. Large
// answers are sent one after the other, a little slower than the link carries, so
// that the queue in front of the link stays short and small answers, messages
// between nodes and acknowledgements pass them. What the link still has to carry
// is known, so an answer that would come too late is refused before it is made.
//
// Core is the decision; it takes the time as an argument. Link makes it usable by
// concurrent transfers.
package shaping
