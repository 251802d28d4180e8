// Command pathbench measures the path of a call through real nodes, beside
// real upstream processes, against simpler forwarders:
//
//	make build && go run ./test/pathbench [-quick]
//
// It prints one line for each figure: name, value, unit, target, and "holds"
// or "misses". Figures of one comparison come from the same run, are taken
// several times in turn, and are printed as medians.
package main
