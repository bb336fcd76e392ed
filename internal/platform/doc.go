// Package platform defines the services that siskinvane depends on: the
// append-only log, the host list and the workers. It has the types of their
// requests and replies, and the interfaces that the rest of the code uses. Its
// subfolders have the HTTP clients of a real platform; fakes of the services are
// in internal/standin.
package platform
