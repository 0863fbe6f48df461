package upstream

// Unacknowledged returns how many bytes wait to be acknowledged by the endpoint's host.
func (a *Answer) Unacknowledged() int { return a.conn.unacknowledged() }
