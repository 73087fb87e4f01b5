// Package harness runs a small deployment for the cases of the review: the project's
// gatewayd as separate processes, and stand-ins for the platform's store, the database
// servers, the promotion endpoint and the clients. Everything listens on loopback
// addresses. The stand-ins follow the users' pages; where a page is silent they behave
// like a sound server, client or platform.
package harness
