//go:build !testbed

package quota

// ApplyMutation does nothing in an ordinary build. In one with the tag testbed it sets the mutation that the environment names.
func (p *Plan) ApplyMutation() {}
