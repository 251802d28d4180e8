// Package operator implements the operations of the operator's command line on
// a deployment: Commands put rules files in force, Queries report what is in
// force on which node. Every change goes through the store, never directly to
// a node. A query also requests the state of the nodes.
package operator
