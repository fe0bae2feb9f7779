package admission

// What is learned of classes: the usual run time follows the engines' state, some twenty answers back; work and memory
// are long means.
const (
	recentShare = 0.05
	meanSamples = 300
)

const initialRank = 1

// initialBusyShare is what engines count as until one reports.
const initialBusyShare = 0.5

// classEstimate is what answers have told of a class.
type classEstimate struct {
	runTime          float64 // from attempt to answer
	work             float64 // time on one thread
	memory           float64 // MB
	answers          float64 // that the figures rest on, capped
	requests         float64 // that the work rests on, capped
	correctionFactor float64 // times its work that a request takes where nothing is crowded
	rank             int
}

// estimator learns from answers what requests take, and how busy engines are.
type estimator struct {
	deployment *Deployment
	classes    []classEstimate

	// Sums over the attempts that ended lately, in which older ones count for less and less.
	threadTime    float64
	requestedWork float64
	runTime       float64 // threadTime over it is the threads of one query, as held (querySlots)

	meanWork      float64 // of the requests sent lately
	expectedWork  float64 // of a usual request as the deployment lets expect: the same at all gateways
	meanBusyShare float64 // of engines by their latest reports: what one without a fresh report counts as
	bestPrice     float64 // of a usual request of the best class
}

// newEstimator begins with what the deployment lets expect: users set latency objectives with room to wait.
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

// querySlots is what a query in flight stands for: threads of our attempts by their run time; the classes' mean at first.
func (s *estimator) querySlots() float64 { return s.threadTime / s.runTime }

// expectWork is the work that a request of a class is taken for: what it told, from which the class's mean learns, else
// that mean.
func (s *estimator) expectWork(class int, told Time) float64 {
	if told <= 0 {
		return s.classes[class].work
	}
	s.learnWork(class, float64(told))
	return float64(told)
}

// memory is the memory that a request is taken to need, in MB.
func (s *estimator) memory(request *activeRequest) float64 {
	if request.estimate.Memory > 0 {
		return request.estimate.Memory
	}
	return s.classes[request.class].memory
}

// slowStartWork is what a request counts against a cold engine's budget: what nine of ten stay under, where told.
func (s *estimator) slowStartWork(request *activeRequest) float64 {
	return max(s.classes[request.class].work, float64(request.estimate.WorkP90))
}

// usualRunTime is how long a request runs if it runs as its class usually does.
func (s *estimator) usualRunTime(request *activeRequest) float64 {
	class := &s.classes[request.class]
	if request.estimate.Work > 0 {
		return class.runTime * (float64(request.estimate.Work) / class.work)
	}
	return class.runTime
}

// countSent counts a request that is sent, in a mean over some five attempts.
func (s *estimator) countSent(class int) {
	const weight = 0.2
	s.meanWork += weight * (s.classes[class].work - s.meanWork)
}

// countRun counts the time that an attempt took, in sums over some twenty. What ends in the tick that it was sent in tells of
// no time held.
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

// learnAnswer takes in what a served attempt tells of its class.
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
	// How many times its work a request takes where nothing is crowded: falls with answers and hardly rises.
	ratio := run * float64(s.deployment.Classes[request.class].Threads) / max(1, cost)
	if class.answers == 1 || ratio < class.correctionFactor {
		class.correctionFactor += max(recentShare, 1/class.answers) * (ratio - class.correctionFactor)
	} else {
		class.correctionFactor += recentShare / meanSamples * (min(ratio, 3*class.correctionFactor) - class.correctionFactor)
	}
}

// cost is a request's work, as its answer tells, else as estimated; else it took what it ran.
func (s *estimator) cost(request *activeRequest, runTime, work Time) float64 {
	run := float64(runTime) * float64(s.deployment.Classes[request.class].Threads)
	if told := max(work, request.estimate.Work); told > 0 {
		return float64(told)
	}
	if s.deployment.ReportsCost {
		return min(run, s.classes[request.class].work) // no answer came
	}
	return run
}

// learnWork takes a request's work into its class's mean: estimates on arrival, else what answers tell.
func (s *estimator) learnWork(class int, work float64) {
	l := &s.classes[class]
	l.requests = min(l.requests+1, meanSamples)
	l.work += 1 / (l.requests + 1) * (work - l.work) // what it started from counts as one
}

// price is what a request earns for its work, as far as the class's answers bear out what was told of it:
// estimates can be far too high or too low for a class as a whole, but none is trusted to be five times too
// high.
func (s *estimator) price(class int, work float64) float64 {
	return s.deployment.Classes[class].Weight / work / max(0.2, s.classes[class].correctionFactor)
}

// updatePrices finds the best price, and orders classes by price in ranks where engines heed them. Shares go up by steps
// of two to four, so a class with half of the best price gets the next lower rank.
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

// reportedBusyShare is the busy share that an engine reports: of the queries that the threshold allows it, or of its
// cores, memory or disks, whichever is scarcest. Cores idle under requests that wait for the others, which
// then take long: where answers tell work, the share counts as many times as requests took of it lately.
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

// learnBusyShare takes a report into the mean over the engines.
func (s *estimator) learnBusyShare(cores float64, report Report, utilization float64) {
	const weight = 0.2
	s.meanBusyShare += weight * (min(1, s.reportedBusyShare(cores, report, utilization)) - s.meanBusyShare)
}
