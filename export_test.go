package dewhitch

// Accounts is how many customers g knows of.
func (g *Gateway) Accounts() int { return len(g.accounts.byID) }
