// Package speed estimates how fast an endpoint is beside the others of its service. It tells
// a lasting difference from a slow spell of seconds, and both from noise.
//
// An endpoint has two estimates: the lasting one is over about the last 40 observations or
// 10 s, whichever is more, and the present one over about the last second. Both are means of
// logarithms of durations, so that a slow observation counts as much as a fast one, and
// observations far from the mean are clipped. A factor is the ratio of an estimate to its
// median over the endpoints of the service. Where all slow down together, none is slow.
//
// A difference is believed once it exceeds what noise explains with as many observations. The
// durations of single requests to equal endpoints may differ by a log-normal factor with a
// sigma of 0.5, and one in a hundred may take five times as long.
//
// The package uses neither a clock nor the network.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSpan is the time within which observations are averaged to one sample. The
	// events of one decode step of an engine arrive together, each 30 to 60 ms, and tell
	// no more than one of them.
	sampleSpan = 50 * time.Millisecond
	// minLastingWeight is the weight of a sample in the lasting mean: about the last 40
	// count, as the effective number of samples is 2/weight - 1.
	minLastingWeight = 0.05
	// lastingTime and presentTime are the time constants of the means. Half the length of a
	// window of 10 s and 1 s gives samples the same mean age as the window does.
	lastingTime = 5 * time.Second
	presentTime = 500 * time.Millisecond
	// staleTime is how long an estimate is kept without observations, and a belief while
	// there are too few. An endpoint that is believed slow gets few requests or none, and
	// would be taken for slow forever.
	staleTime = 30 * time.Second
	// minSamples is the number of samples before a lasting difference can be believed.
	minSamples = 8
	// minPresentSamples is the effective number of present samples before a spell can be
	// believed: a stall of one decode step must not be taken for one.
	minPresentSamples = 5
	// minPaceSamples is the number of samples before a pace is known. The first events of an
	// engine may be read late and arrive together.
	minPaceSamples = 3
	// minEndpoints is the number of endpoints of a service that has a typical value. If one
	// of two were believed slow, all entries would send to the other.
	minEndpoints = 3
	// minMeasured and minPresentMeasured are the numbers of them with enough samples. An
	// idle entry keeps to one endpoint, so that few entries may measure two of many.
	minMeasured        = 2
	minPresentMeasured = 3
	// maxLastingStep bounds the difference of a sample from the lasting mean, in which a
	// sample counts with at most a factor of 1.8. A spell of 2 s, however slow, then moves
	// the mean by 0.24, less than slowLog. It also bounds the spread of samples.
	maxLastingStep = 0.6
	// maxStep is the same bound for the present mean, for the sums that are shared, and for
	// the lasting mean while it has fewer than minSamples: a factor of 2.7, still beyond that of
	// a spell.
	maxStep = 1.0
	// noise is the standard deviation of the logarithm of a sample that is to be expected.
	noise = 0.5
	// certainty is how many standard errors a difference must have. Of 4,500 windows of 40
	// observations of three endpoints that differ by noise only, 12 brought a wrong belief
	// with 3 standard errors and none with 4.2.
	certainty = 4.2
	// medianNoise is the factor of the variance of a median over that of a mean.
	medianNoise = 1.57
	// buckets and bucketTime make up the window of the sums that are shared.
	buckets    = 5
	bucketTime = 2 * time.Second
	// logDigits rounds sums that are sent.
	logDigits = 100
	// maxSharedSamples bounds the weight of one neighbour.
	maxSharedSamples = 1000
	// maxSharedLog bounds the logarithm of a neighbour's mean duration in microseconds: a
	// thousand hours.
	maxSharedLog = 29
)

var (
	// slowLog and normalLog are the logarithms of the lasting factors from which on an
	// endpoint counts as slow, and below which it no longer does.
	slowLog, normalLog = math.Log(1.4), math.Log(1.2)
	// spellLog and spellEndLog are those of the present factor for a spell.
	spellLog, spellEndLog = math.Log(2), math.Log(1.4)
)

type (
	// Estimator estimates the speed of one incarnation of an endpoint. Its times are those
	// since any fixed moment. It is not safe for concurrent use; the zero value has no
	// observations.
	//
	//	var e speed.Estimator
	//	e.Observe(took, now)
	//	speed.Judge([]*speed.Estimator{&e, &other, &third}, nil, now)
	//	factor := e.Factor()
	Estimator struct {
		// total and count are those of the sample that is being collected since startedAt.
		startedAt time.Duration
		total     float64
		count     int
		// sampledAt is the time of the last complete sample.
		sampledAt time.Duration
		// lasting and present are means of the logarithms of durations in microseconds,
		// samples the effective number of samples in lasting, and weight the sum of the
		// decayed weights in present.
		lasting, samples float64
		present, weight  float64
		// window has the sums of the last buckets x bucketTime.
		window [buckets]bucket
		// slow is the lasting factor if it is believed, else 0, and comparedAt when it was
		// last compared with a typical one.
		slow       float64
		comparedAt time.Duration
		inSpell    bool
	}

	// Sum is a number of samples and the sum of the logarithms of their durations in
	// microseconds. Instances exchange it.
	Sum struct {
		Samples int     `json:"n"`
		Logs    float64 `json:"s"`
	}

	// bucket is the sum of one period of bucketTime.
	bucket struct {
		period  int32
		samples int32
		logs    float32
	}

	// estimate is a mean of logarithms over an effective number of samples.
	estimate struct {
		mean, samples float64
	}

	// typical is the median of the estimates of a service.
	typical struct {
		estimate
		isKnown bool
	}
)

// Observe records the duration of one unit of work that ended at now.
func (e *Estimator) Observe(took, now time.Duration) {
	e.flush(now)
	if e.count == 0 {
		e.startedAt = now
	}
	e.total += math.Log(max(float64(took)/float64(time.Microsecond), 1))
	e.count++
}

// flush adds the collected sample to the means if it is complete.
func (e *Estimator) flush(now time.Duration) {
	if e.count == 0 || now-e.startedAt < sampleSpan {
		return
	}
	x, age := e.total/float64(e.count), max(e.startedAt-e.sampledAt, 0)
	if e.samples > 0 && age > staleTime {
		e.samples, e.weight = 0, 0
	}
	e.total, e.count, e.sampledAt = 0, 0, e.startedAt
	shared, step := x, maxStep
	if e.samples > 0 {
		shared = clip(x, e.lasting, maxStep)
	}
	if e.samples >= minSamples {
		step = maxLastingStep
	}
	decay := math.Exp(-float64(age) / float64(presentTime))
	e.weight = e.weight*decay + 1
	e.present += (shared - e.present) / e.weight
	weight := min(minLastingWeight, 1-math.Exp(-float64(max(age, time.Millisecond))/float64(lastingTime)))
	if e.samples == 0 {
		e.lasting = x
	} else {
		e.lasting += max(weight, 1/(e.samples+1)) * (clip(x, e.lasting, step) - e.lasting)
	}
	e.samples = min(e.samples+1, 2/weight-1)
	b := e.bucket(e.sampledAt)
	b.samples++
	b.logs += float32(shared)
}

func clip(x, around, step float64) float64 { return min(max(x, around-step), around+step) }

// bucket returns the bucket of the period of a time, emptied if it had an earlier period.
func (e *Estimator) bucket(at time.Duration) *bucket {
	period := int32(at / bucketTime)
	b := &e.window[period%buckets]
	if b.period != period {
		*b = bucket{period: period}
	}
	return b
}

// Recent returns the sum of the samples of about the last 10 s.
func (e *Estimator) Recent(now time.Duration) Sum {
	e.flush(now)
	var s Sum
	for _, b := range e.window {
		if int32(now/bucketTime)-b.period < buckets {
			s.Samples += int(b.samples)
			s.Logs += float64(b.logs)
		}
	}
	s.Logs = math.Round(s.Logs*logDigits) / logDigits
	return s
}

// Add returns the sum of s and o. Sums that no sender can have are left out.
func (s Sum) Add(o Sum) Sum {
	if o.Samples <= 0 || o.Samples > maxSharedSamples || !(o.Logs >= 0 && o.Logs <= float64(o.Samples)*maxSharedLog) {
		return s
	}
	return Sum{Samples: s.Samples + o.Samples, Logs: s.Logs + o.Logs}
}

// Factor returns the lasting factor of the endpoint's times, above 1 if it is slower than a
// typical one. It is 1 while no lasting difference is believed.
func (e *Estimator) Factor() float64 {
	if e.slow == 0 {
		return 1
	}
	return e.slow
}

// Pace returns the time of a unit of work that new work has to expect: the lasting one, or the
// present one if that is longer. A fast moment says little about the next seconds. It is 0 if
// unknown.
func (e *Estimator) Pace(now time.Duration) time.Duration {
	lasting, present := e.estimates(now)
	if lasting.samples < minPaceSamples {
		return 0
	}
	log := lasting.mean
	if present.samples >= minPresentSamples {
		log = max(log, present.mean)
	}
	return time.Duration(math.Exp(log) * float64(time.Microsecond))
}

// InSpell reports whether the endpoint is in a slow spell.
func (e *Estimator) InSpell() bool { return e.inSpell }

// Samples returns the effective number of own samples in the lasting estimate.
func (e *Estimator) Samples() int { return int(e.samples) }

// estimates returns the lasting and the present estimate by now.
func (e *Estimator) estimates(now time.Duration) (lasting, present estimate) {
	e.flush(now)
	age := max(now-e.sampledAt, 0)
	if age > staleTime {
		e.samples, e.weight = 0, 0
	}
	if e.samples == 0 {
		return estimate{}, estimate{}
	}
	weight := e.weight * math.Exp(-float64(age)/float64(presentTime))
	return estimate{mean: e.lasting, samples: e.samples}, estimate{mean: e.present, samples: max(2*weight-1, 0)}
}

// Judge updates which endpoints of a service are believed slow or in a spell. group has the
// estimators of all that accept work, and neighbours, which may be nil, the sums that other
// instances have shared about each of them.
func Judge(group []*Estimator, neighbours []Sum, now time.Duration) {
	lasting, present := make([]estimate, len(group)), make([]estimate, len(group))
	for i, e := range group {
		lasting[i], present[i] = e.estimates(now)
		if neighbours != nil && neighbours[i].Samples > 0 {
			lasting[i] = lasting[i].merge(neighbours[i])
		}
	}
	if len(group) < minEndpoints {
		clear(lasting)
		clear(present)
	}
	typical, typicalNow := newTypical(lasting, minSamples, minMeasured), newTypical(present, minPresentSamples, minPresentMeasured)
	for i, e := range group {
		log, isMeasured := typical.compare(lasting[i], minSamples)
		if len(group) < minEndpoints {
			e.slow = 0
		}
		e.judgeLasting(log, isMeasured, typical.standardError(lasting[i]), now)
		presentLog, isPresent := typicalNow.compare(present[i], minPresentSamples)
		e.judgePresent(presentLog, log, isPresent, typicalNow.standardError(present[i]))
	}
}

// judgeLasting updates the lasting factor, given its logarithm. Nobody observes an endpoint
// that all believe slow, so that the belief outlasts what it was made from.
func (e *Estimator) judgeLasting(log float64, isMeasured bool, standardError float64, now time.Duration) {
	if !isMeasured {
		if now-e.comparedAt > staleTime {
			e.slow = 0
		}
		return
	}
	e.comparedAt = now
	isSlow, staysSlow := log > max(slowLog, certainty*standardError), e.slow > 0 && log >= normalLog
	e.slow = 0
	if isSlow || staysSlow {
		e.slow = math.Exp(log)
	}
}

// judgePresent updates whether the endpoint is in a spell, given the logarithms of both
// factors.
func (e *Estimator) judgePresent(log, lastingLog float64, isMeasured bool, standardError float64) {
	begins := isMeasured && lastingLog <= spellLog && log > max(spellLog, certainty*standardError)
	goesOn := isMeasured && e.inSpell && lastingLog <= spellLog && log >= spellEndLog
	e.inSpell = begins || goesOn
}

// merge returns the mean of the estimate and a sum, weighted by their samples.
func (e estimate) merge(s Sum) estimate {
	samples := e.samples + float64(s.Samples)
	return estimate{mean: (e.mean*e.samples + s.Logs) / samples, samples: samples}
}

// newTypical returns the median of the estimates with enough samples, the lower of two: half
// of the endpoints may be slow. It is unknown if too few have enough.
func newTypical(all []estimate, minSamples float64, minMeasured int) typical {
	means, samples := make([]float64, 0, len(all)), 0.0
	for _, e := range all {
		if e.samples >= minSamples {
			means = append(means, e.mean)
			samples += e.samples
		}
	}
	if len(means) < minMeasured {
		return typical{}
	}
	slices.Sort(means)
	return typical{estimate: estimate{mean: means[(len(means)-1)/2], samples: samples}, isKnown: true}
}

// compare returns the logarithm of the ratio of an estimate to the typical one, and whether
// it is known.
func (t typical) compare(e estimate, minSamples float64) (log float64, ok bool) {
	if !t.isKnown || e.samples < minSamples {
		return 0, false
	}
	return e.mean - t.mean, true
}

// standardError returns the standard error of the difference of an estimate to the typical
// one that noise alone gives.
func (t typical) standardError(e estimate) float64 {
	return noise * math.Sqrt(1/max(e.samples, 1)+medianNoise/max(t.samples, 1))
}
