// Package config holds the configuration that decides calls: routes, services
// and the limits of callers. A Configuration is one accepted version; a
// Snapshot is its immutable, indexed form, which all calls of a node share
// until the next version replaces it whole.
package config
