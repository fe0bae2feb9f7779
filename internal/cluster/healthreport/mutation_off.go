//go:build !testbed

package healthreport

// Mutations. Tests enable them to show that their checks find them. They are off in an ordinary build.
const relayPeerReports, ignoreDelay = false, false
