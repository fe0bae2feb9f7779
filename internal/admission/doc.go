// Package admission decides, for one gateway, which request runs on which engine and when. It does no I/O: its caller reports
// each event to the Controller (HandleRequest, HandleAttemptEnd, HandleNotice, HandleDisconnect, HandleProbeResult,
// HandlePeerReport, HandleCapacityChange, UpdateEndpoints, Tick), and the Controller acts at once through the Host that New
// received. The caller makes one call at a time, with times that never decrease. It also supplies the random seed, so the same
// events lead to the same actions.
//
// Each file holds one decision with its state, its limits and the reasons for them:
//
//	controller.go   the Controller, which combines the decisions below and handles the timer
//	endpoints.go    the engine list, and the gateway's state for each engine
//	requests.go     the table of outstanding requests
//	queue.go        queueing, and the order of release: tenant, class, arrival
//	shedding.go     admission and load shedding: which requests to reject, and when
//	placement.go    which engine gets an attempt
//	concurrency.go  how much may run on an engine: slots, their adjuster, the load signal
//	slowstart.go    how much an engine that has just started may be sent
//	outlier.go      failure scores, and the ejection of engines
//	retries.go      which requests may be retried, and the retry budget
//	attempts.go     sending attempts, their timeouts, and cancelling hopeless and silent ones
//	keyorder.go     requests that share a key run one after another
//	healthchecks.go probes of engines, and the limit on their cost
//	loadreports.go  load reports from engines
//	peers.go        observations sent to and received from peers
//	estimates.go    what the gateway learns about classes from answers
//	snapshot.go     the state that outlives the process
//
// types.go, deployment.go and host.go define the types that callers use, the settings, and the interfaces through which the
// Controller acts.
//
// docs/design.md names the source of the rules and where this package departs from it.
package admission
