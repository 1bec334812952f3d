// Package standin has fakes of what a gateway talks to: backends, the quota counter, discovery, and customers' clients; and runs the
// gateway's own processes. Tests, tools, the soak and the drill use them. Fakes listen on loopback alone, follow a script, and record
// what came. They share no code with the gateway, so that an error in its protocols can't cancel out.
package standin
