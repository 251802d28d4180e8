// Package shaping shares the bandwidth of a VM's link among large responses. They
// are sent at a rate a little below that of the link, so that the queue in front
// of the link stays short and small responses, messages between nodes and
// acknowledgements are not delayed. The bytes that are still to be sent are known,
// so a response that would be too late is refused before it is made.
//
// Core makes the decisions and takes the time as an argument. Link makes it usable
// by concurrent transfers.
package shaping
