package admission

// The mean run time of a class follows the present state of the engines, so it covers about twenty answers (recentWeight is the
// weight of one). The mean work and memory change only with the mix of requests, so they cover up to meanSamples answers.
const (
	recentWeight = 0.05
	meanSamples  = 300
)

const initialRank = 1

// initialBusyShare is the assumed busy share of engines until one reports.
const initialBusyShare = 0.5

// classEstimate holds what the gateway has learned about a class from estimates and answers. Times are in units of Time.
type classEstimate struct {
	runTime          float64 // mean time from sending an attempt to its answer
	work             float64 // mean time that a request takes on one thread
	memory           float64 // mean memory in MB
	answers          float64 // number of answers in runTime, memory and correctionFactor, at most meanSamples
	requests         float64 // number of requests in work, at most meanSamples
	correctionFactor float64 // ratio of a request's thread time to its work (cost), on engines that aren't busy
	rank             int
}

// estimator estimates the cost of requests from answers, and the load of engines from reports. Times are in units of Time.
type estimator struct {
	deployment *Deployment
	classes    []classEstimate

	// Sums over the attempts that ended lately; the weight of an attempt decreases with each later one.
	threadTime    float64 // run time times threads
	requestedWork float64 // work, as returned by cost
	runTime       float64 // run time; threadTime divided by runTime is the mean number of threads of a query in flight (querySlots)

	meanWork      float64 // mean work of the requests sent lately
	expectedWork  float64 // initial meanWork, from the deployment alone and thus the same at all gateways
	meanBusyShare float64 // mean of the engines that reported lately; assumed for an engine without a fresh report
	bestPrice     float64 // highest price among the classes, each at its mean work
}

// newEstimator returns an estimator with initial values from the deployment. The initial run time of a class is a third of its
// latency objective, because users choose objectives that include time to wait.
func newEstimator(d *Deployment) estimator {
	s := estimator{deployment: d, classes: make([]classEstimate, len(d.Classes)), meanBusyShare: initialBusyShare}
	meanThreads := 0.0
	for i := range d.Classes {
		class := &d.Classes[i]
		s.threadTime += float64(class.LatencyObjective)
		s.requestedWork += float64(class.LatencyObjective)
		meanThreads += float64(class.Threads) / float64(len(d.Classes))
		runTime := float64(class.LatencyObjective) / 3
		s.classes[i] = classEstimate{runTime: runTime, work: runTime * float64(class.Threads), correctionFactor: 1,
			rank: initialRank}
		s.meanWork += s.classes[i].work / float64(len(d.Classes))
	}
	s.expectedWork = s.meanWork
	s.runTime = s.threadTime / meanThreads
	return s
}

// querySlots returns the threads that a query in flight uses: the mean over this gateway's attempts weighted by their run times,
// and initially over the classes.
func (s *estimator) querySlots() float64 { return s.threadTime / s.runTime }

// expectWork returns the expected work of a request. This is its estimate if it has one, which then also updates the class's
// mean, and the class's mean otherwise.
func (s *estimator) expectWork(class int, estimated Time) float64 {
	if estimated <= 0 {
		return s.classes[class].work
	}
	s.learnWork(class, float64(estimated))
	return float64(estimated)
}

// memory returns the expected memory of a request, in MB.
func (s *estimator) memory(request *activeRequest) float64 {
	if request.estimate.Memory > 0 {
		return request.estimate.Memory
	}
	return s.classes[request.class].memory
}

// slowStartWork returns the work of a request that counts against the budget of an engine that is warming up. This is the 90th
// percentile of the estimate or the class's mean, whichever is larger, because one heavy request can make the engine fail.
func (s *estimator) slowStartWork(request *activeRequest) float64 {
	return max(s.classes[request.class].work, float64(request.estimate.WorkP90))
}

// usualRunTime returns the expected run time of a request: its class's mean, scaled by its estimated work if known.
func (s *estimator) usualRunTime(request *activeRequest) float64 {
	class := &s.classes[request.class]
	if request.estimate.Work > 0 {
		return class.runTime * (float64(request.estimate.Work) / class.work)
	}
	return class.runTime
}

// countSent updates meanWork, a mean over about five attempts, with a request that is sent.
func (s *estimator) countSent(class int) {
	const weight = 0.2
	s.meanWork += weight * (s.classes[class].work - s.meanWork)
}

// countRun adds an ended attempt to the sums, which cover about twenty attempts. An attempt that ended at the time it was sent
// used no thread and isn't counted.
func (s *estimator) countRun(request *activeRequest, runTime, work Time) {
	const decay = 0.95
	run := float64(runTime)
	if run <= 0 {
		return
	}
	cost := s.cost(request, runTime, work)
	s.threadTime = decay*s.threadTime + run*float64(s.deployment.Classes[request.class].Threads)
	s.requestedWork = decay*s.requestedWork + cost
	s.runTime = decay*s.runTime + run
}

// learnAnswer updates the estimates of a class from the answer to a served attempt.
func (s *estimator) learnAnswer(request *activeRequest, runTime, work Time, memory float64) {
	class := &s.classes[request.class]
	run := float64(runTime)
	class.answers = min(class.answers+1, meanSamples)
	class.runTime += max(recentWeight, 1/class.answers) * (run - class.runTime)
	class.memory += 1 / class.answers * (memory - class.memory)
	cost := s.cost(request, runTime, work)
	if request.estimate.Work == 0 {
		s.learnWork(request.class, cost)
	}
	// The correction factor falls quickly and rises slowly, because requests take longer on busy engines.
	ratio := run * float64(s.deployment.Classes[request.class].Threads) / max(1, cost)
	if class.answers == 1 || ratio < class.correctionFactor {
		class.correctionFactor += max(recentWeight, 1/class.answers) * (ratio - class.correctionFactor)
	} else {
		class.correctionFactor += recentWeight / meanSamples * (min(ratio, 3*class.correctionFactor) - class.correctionFactor)
	}
}

// cost returns a request's work: the larger of the value in its answer and its estimate if either is known, else the thread time
// of its run. Where engines report work but no value came, the class's mean limits that thread time.
func (s *estimator) cost(request *activeRequest, runTime, work Time) float64 {
	run := float64(runTime) * float64(s.deployment.Classes[request.class].Threads)
	if known := max(work, request.estimate.Work); known > 0 {
		return float64(known)
	}
	if s.deployment.ReportsCost {
		return min(run, s.classes[request.class].work) // engines report work in answers, but none was reported
	}
	return run
}

// learnWork updates the mean work of a class with a request's work: its estimate on arrival, or else its cost when answered.
func (s *estimator) learnWork(class int, work float64) {
	estimate := &s.classes[class]
	estimate.requests = min(estimate.requests+1, meanSamples)
	estimate.work += 1 / (estimate.requests + 1) * (work - estimate.work) // the initial value has the weight of one request
}

// price returns a request's weight divided by its work. The work is multiplied by the class's correction factor, because the
// estimates of a whole class can be far too high or too low. The factor is at least 0.2, so an estimate is never taken to be more
// than five times too high.
func (s *estimator) price(class int, work float64) float64 {
	return s.deployment.Classes[class].Weight / work / max(0.2, s.classes[class].correctionFactor)
}

// updatePrices updates the best price, and ranks classes by price if engines support ranks. An engine gives a rank two to four
// times the share of the rank below, so a class with about half of the best price gets the next lower rank.
func (s *estimator) updatePrices() {
	s.bestPrice = 0
	for i := range s.classes {
		s.bestPrice = max(s.bestPrice, s.price(i, s.classes[i].work))
	}
	if !s.deployment.SupportsRanks {
		return
	}
	for i := range s.classes {
		const step = 0.35 // as a share of the best price
		s.classes[i].rank = initialRank + min(2, int(s.price(i, s.classes[i].work)/s.bestPrice/step))
	}
}

// reportedBusyShare returns an engine's busy share according to its report. If the engine reports queries in flight, this is their
// share of the queries that loadThreshold allows. Otherwise it is the share in use of cores, memory or disks, whichever is highest.
// Cores are idle while requests wait for memory or disks, and such requests take longer than their work. Where answers report
// work, the share is therefore multiplied by the recent ratio of thread time to work.
func (s *estimator) reportedBusyShare(cores float64, report Report, utilization float64) float64 {
	if report.InFlight >= 0 {
		return report.InFlight / cores * s.querySlots() / loadThreshold
	}
	share := max(utilization, report.Memory, report.Disks)
	if s.deployment.ReportsCost {
		share *= max(1, s.threadTime/s.requestedWork)
	}
	return share
}

// learnBusyShare updates the mean busy share of the engines from a report.
func (s *estimator) learnBusyShare(cores float64, report Report, utilization float64) {
	const weight = 0.2
	s.meanBusyShare += weight * (min(1, s.reportedBusyShare(cores, report, utilization)) - s.meanBusyShare)
}
