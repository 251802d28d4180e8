// Package config holds the configuration that determines how calls are routed:
// routes, services and the limits on callers. A Configuration is one accepted
// version. A Snapshot is its indexed form, which all calls of a node share until
// the next version replaces it as a whole.
package config
