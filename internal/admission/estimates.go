package admission

// A class's usual run time follows the engines' present state, so it rests on some twenty answers (recentShare is the weight of
// one). Its work and memory are means over up to meanSamples answers, because they change with the mix of requests alone.
const (
	recentShare = 0.05
	meanSamples = 300
)

const initialRank = 1

// initialBusyShare is the busy share that engines are taken to have until one reports.
const initialBusyShare = 0.5

// classEstimate is what answers have told of a class. Times are in units of Time.
type classEstimate struct {
	runTime          float64 // from sending an attempt to its answer
	work             float64 // time that a request takes on one thread
	memory           float64 // MB
	answers          float64 // that runTime, memory and correctionFactor rest on, capped
	requests         float64 // that work rests on, capped
	correctionFactor float64 // what a request takes over what it was told to take, on engines that aren't busy
	rank             int
}

// estimator learns from answers what requests take, and from reports how busy engines are. Times are in units of Time.
type estimator struct {
	deployment *Deployment
	classes    []classEstimate

	// Sums over the attempts that ended lately; an attempt counts for less with each one that ends after it.
	threadTime    float64
	requestedWork float64
	runTime       float64 // threadTime over runTime is the threads of a query in flight (querySlots)

	meanWork      float64 // mean of the requests sent lately
	expectedWork  float64 // of a usual request, from the deployment alone: the same at all gateways
	meanBusyShare float64 // of the engines that reported lately; an engine without a fresh report is taken to have it
	bestPrice     float64 // of a usual request of the best class
}

// newEstimator begins with what the deployment lets expect: a third of the latency objective, because users set it with time
// to wait.
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

// querySlots is how many threads a query in flight takes: the mean of our attempts weighted by their run time, and of the
// classes at first.
func (s *estimator) querySlots() float64 { return s.threadTime / s.runTime }

// expectWork returns the work that a request is expected to take: its estimate, which goes into its class's mean, else that
// mean.
func (s *estimator) expectWork(class int, told Time) float64 {
	if told <= 0 {
		return s.classes[class].work
	}
	s.learnWork(class, float64(told))
	return float64(told)
}

// memory returns the memory that a request is expected to need, in MB.
func (s *estimator) memory(request *activeRequest) float64 {
	if request.estimate.Memory > 0 {
		return request.estimate.Memory
	}
	return s.classes[request.class].memory
}

// slowStartWork returns the work that a request counts against the budget of an engine that warms up: the estimate's ninetieth
// percentile where it is above the class's mean, because one heavy request can make the engine fail.
func (s *estimator) slowStartWork(request *activeRequest) float64 {
	return max(s.classes[request.class].work, float64(request.estimate.WorkP90))
}

// usualRunTime returns how long a request runs if it runs as its class usually does.
func (s *estimator) usualRunTime(request *activeRequest) float64 {
	class := &s.classes[request.class]
	if request.estimate.Work > 0 {
		return class.runTime * (float64(request.estimate.Work) / class.work)
	}
	return class.runTime
}

// countSent takes a request that is sent into meanWork, which rests on some five attempts.
func (s *estimator) countSent(class int) {
	const weight = 0.2
	s.meanWork += weight * (s.classes[class].work - s.meanWork)
}

// countRun takes an attempt that ended into the sums, which rest on some twenty. One that ended at the time it was sent at
// has held no thread, and doesn't count.
func (s *estimator) countRun(request *activeRequest, runTime, work Time) {
	const keep = 0.95
	run := float64(runTime)
	if run <= 0 {
		return
	}
	cost := s.cost(request, runTime, work)
	s.threadTime = keep*s.threadTime + run*float64(s.deployment.Classes[request.class].Threads)
	s.requestedWork = keep*s.requestedWork + cost
	s.runTime = keep*s.runTime + run
}

// learnAnswer takes what a served attempt tells into the estimate of its class.
func (s *estimator) learnAnswer(request *activeRequest, runTime, work Time, memory float64) {
	class := &s.classes[request.class]
	run := float64(runTime)
	class.answers = min(class.answers+1, meanSamples)
	class.runTime += max(recentShare, 1/class.answers) * (run - class.runTime)
	class.memory += 1 / class.answers * (memory - class.memory)
	cost := s.cost(request, runTime, work)
	if request.estimate.Work == 0 {
		s.learnWork(request.class, cost)
	}
	// The correction factor falls quickly and rises slowly, because busy engines make requests take longer.
	ratio := run * float64(s.deployment.Classes[request.class].Threads) / max(1, cost)
	if class.answers == 1 || ratio < class.correctionFactor {
		class.correctionFactor += max(recentShare, 1/class.answers) * (ratio - class.correctionFactor)
	} else {
		class.correctionFactor += recentShare / meanSamples * (min(ratio, 3*class.correctionFactor) - class.correctionFactor)
	}
}

// cost returns a request's work: as its answer tells, else as estimated, else the thread time that it ran.
func (s *estimator) cost(request *activeRequest, runTime, work Time) float64 {
	run := float64(runTime) * float64(s.deployment.Classes[request.class].Threads)
	if told := max(work, request.estimate.Work); told > 0 {
		return float64(told)
	}
	if s.deployment.ReportsCost {
		return min(run, s.classes[request.class].work) // answers tell, but none came
	}
	return run
}

// learnWork takes a request's work into its class's mean: its estimate on arrival, else what its answer tells.
func (s *estimator) learnWork(class int, work float64) {
	l := &s.classes[class]
	l.requests = min(l.requests+1, meanSamples)
	l.work += 1 / (l.requests + 1) * (work - l.work) // the initial value counts as one request
}

// price returns a request's weight over its work. The work is corrected by the class's factor, because estimates can be far
// too high or too low for a class as a whole; no more than five times too high is believed.
func (s *estimator) price(class int, work float64) float64 {
	return s.deployment.Classes[class].Weight / work / max(0.2, s.classes[class].correctionFactor)
}

// updatePrices finds the best price, and ranks classes by price where engines support ranks. An engine gives a rank two to four
// times the share of the rank below, so a class with half of the best price gets the next lower rank.
func (s *estimator) updatePrices() {
	s.bestPrice = 0
	for i := range s.classes {
		s.bestPrice = max(s.bestPrice, s.price(i, s.classes[i].work))
	}
	if !s.deployment.SupportsRanks {
		return
	}
	for i := range s.classes {
		const step = 0.35 // of the best price
		s.classes[i].rank = initialRank + min(2, int(s.price(i, s.classes[i].work)/s.bestPrice/step))
	}
}

// reportedBusyShare returns the busy share that an engine reports: of the queries that loadThreshold allows it, or of its
// cores, memory or disks, whichever is scarcest. Cores idle under requests that wait for memory or disks, and such requests
// take longer than their work; so where answers tell work, the share is multiplied by how many times their work requests
// took lately.
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

// learnBusyShare takes a report into the mean busy share of the engines.
func (s *estimator) learnBusyShare(cores float64, report Report, utilization float64) {
	const weight = 0.2
	s.meanBusyShare += weight * (min(1, s.reportedBusyShare(cores, report, utilization)) - s.meanBusyShare)
}
