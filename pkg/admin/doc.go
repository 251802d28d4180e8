// Package admin serves the administration API of a node below /v1/ and the
// operational endpoints /metrics, /healthz and /readyz. Queries and commands
// are separate types; the only command replaces the rules file. Errors are
// RFC 9457 problem details.
package admin
