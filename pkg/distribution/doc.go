// Package distribution keeps the version in force in this process and
// receives and relays versions through the overlay.
package distribution
