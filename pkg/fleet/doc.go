// Package fleet keeps the list of the nodes of the deployment. The platform's
// store holds one row for each node. A node writes its row when it starts and
// removes it when it stops. Every node keeps a copy of all rows, and replaces it
// as a whole. Nodes exchange directly what the store does not hold (whether they
// accept calls) and, while the store is unavailable, what it held.
package fleet
