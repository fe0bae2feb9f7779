//go:build !testbed

package quota

// ApplyMutation is for the laboratory, which plants defects to see that its checkers find them; in an ordinary build it does nothing.
func (p *Plan) ApplyMutation() {}
