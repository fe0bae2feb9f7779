//go:build !testbed

package quota

// ApplyMutation does nothing in an ordinary build. In a build with the tag testbed, it sets the mutation named in the environment.
func (p *Plan) ApplyMutation() {}
