// Package platform is the client side of the platform's two services: a
// transactional table service and an object store, both over HTTP.
package platform
