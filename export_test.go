package dewhitch

// Accounts returns the number of customers that g has accounts of.
func (g *Gateway) Accounts() int { return len(g.accounts.byID) }
