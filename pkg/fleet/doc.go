// Package fleet knows the nodes of the deployment. The platform's store holds
// one row for each node, which the node writes when it starts and removes when
// it stops; every node keeps a copy of all rows and replaces it whole. Nodes
// tell one another what the store does not hold (whether they take work) and,
// while the store is away, what it held.
package fleet
