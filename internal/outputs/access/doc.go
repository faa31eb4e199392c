// Package access implements authentication and authorization for task outputs.
//
// A request is authenticated by a token ([TokenSet.Authenticate]), and the resulting
// [Caller] is authorized for a team. Tokens belong to a team, to operators or to the
// stores. Between machines they are sent over TLS; certificates and certificate
// authorities are reloaded when their files change. Without tokens every request is
// authorized, which is meant only for stores on loopback.
package access
