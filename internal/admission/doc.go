// Package admission decides, for one gateway, which request runs on which engine and when. It does no I/O: a
// Controller is told what happens (HandleRequest, HandleAttemptEnd, HandleNotice, HandleDisconnect, HandleProbeResult,
// HandlePeerReport, HandleCapacityChange, UpdateEndpoints, Tick) and acts at once through the Host that it was given. Calls come one at a
// time, with a clock that never goes back. Clock and seed are handed in, so that the same events lead to the same actions.
//
// Each file holds one decision with its state, its limits and the reasons for them:
//
//	controller.go   composes the parts, and handles each event
//	endpoints.go    the engine list, and what is known of each engine
//	requests.go     the requests in hand
//	queue.go        queueing, and the order of release: tenant, class, arrival
//	shedding.go     admission and load shedding: whom to reject, and when
//	placement.go    which engine gets an attempt
//	concurrency.go  how much may run on an engine: slots, their adjuster, the load signal
//	slowstart.go    what an engine that has just started may be sent
//	outlier.go      failure scores, and the ejection of engines
//	retries.go      which requests may be tried again, and the retry budget
//	attempts.go     sending attempts, their timeouts, and calling off hopeless and silent ones
//	keyorder.go     requests that share a key run one after another
//	healthchecks.go probes of engines, and what they may cost
//	loadreports.go  what engines tell of their load
//	peers.go        what is told to peers, and what they tell
//	estimates.go    what is learned of classes from answers
//	snapshot.go     what outlives the process
//
// types.go, deployment.go and host.go have the types that callers use, the settings, and the interfaces that the decisions act on.
//
// docs/design.md has the source of the rules and the departures from it.
package admission
