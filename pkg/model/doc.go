// Package model holds the domain values that the other packages share:
// locations, rules, versions, nodes of upstreams, refusal reasons and run states.
// It does no I/O and imports no other package of the project.
package model
