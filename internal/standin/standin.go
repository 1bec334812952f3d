// Package standin implements stand-ins for the services that a gateway connects to (backends, the quota counter and discovery)
// and for customers' clients, and runs gateway processes. Tests, tools, the soak and the drill use it. Stand-ins listen on
// loopback only, follow a script and record what they receive. They share no code with the gateway, so that an error in the
// gateway's protocol code can't cancel itself out.
package standin
