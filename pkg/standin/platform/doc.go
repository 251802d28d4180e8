// Package platform is a stand-in for the platform's table service and object
// store. It keeps its state in memory, speaks the protocol of
// docs/platform-protocol.md and has switches for outages, delays and lost
// answers. It serves tests and lentilctl dev.
package platform
