// Package client calls the administration API of a node. Refusals are returned
// as *admin.Problem.
package client
