//go:build !testbed

package membership

// ignoreIncarnations is a mutation by which tests prove that their checks find it. An ordinary build has none.
const ignoreIncarnations = false
