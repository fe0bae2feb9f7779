//go:build !testbed

package healthreport

// Mutations by which tests prove that their checks find them. An ordinary build has none.
const relayPeerReports, ignoreDelay = false, false
