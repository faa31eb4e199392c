package placement

import "math"

// UCfit holds the parameters of the utilization-capacity fitness, equation (8) in
// section 4.1.2 of the paper:
//
//	(|RCV| / |TCV|)^A · (sin θ + C)^B
//
// RCV is the remaining capacity of a machine and TCV its total capacity, each relative
// to the machine's size, so that TCV is 1 in every dimension; θ is the angle between
// RCV and the utilization RUV = TCV - RCV. A low value means that the machine is nearly
// full, and that its resources are used in balance.
type UCfit struct {
	A float64 // weight of the remaining capacity
	B float64 // weight of the imbalance
	C float64 // keeps the second factor above zero if RCV and RUV are collinear
}

// Score returns the fitness of a machine with the given size and free capacity after
// placement. Lower is better. Resources that the machine lacks are ignored; a full machine
// scores 0.
func (u UCfit) Score(free, size Resources) float64 {
	var remainingSquared, usedSquared, dot float64 // |RCV|², |RUV|², RCV · RUV
	dimensions := 0
	for i := range size {
		if size[i] <= 0 {
			continue
		}
		dimensions++
		remaining := remainingFraction(free[i], size[i])
		used := 1 - remaining
		remainingSquared += remaining * remaining
		usedSquared += used * used
		dot += remaining * used
	}
	if remainingSquared == 0 {
		return 0
	}
	sin := 0.0
	if usedSquared > 0 { // an unused machine has no RUV, and so no angle
		cos := dot / math.Sqrt(remainingSquared*usedSquared)
		sin = math.Sqrt(max(0, 1-cos*cos))
	}
	// |TCV| is the square root of the number of dimensions.
	return math.Pow(math.Sqrt(remainingSquared/float64(dimensions)), u.A) * math.Pow(sin+u.C, u.B)
}

// remainingFraction returns the free fraction of a resource, from 0 to 1. Rounding errors
// count as 0.
func remainingFraction(free, size float64) float64 {
	fraction := min(max(free/size, 0), 1)
	if fraction < epsilon {
		return 0
	}
	return fraction
}

// SelectBest returns the index of the candidate with the lowest score among n candidates;
// -1 if the task fits on none. The function candidate returns the free capacity of a
// candidate after placement and its size; ok is false if the task does not fit. Of equal
// scores the first wins.
func (u UCfit) SelectBest(n int, candidate func(i int) (free, size Resources, ok bool)) int {
	best, lowest := -1, math.Inf(1)
	for i := range n {
		free, size, ok := candidate(i)
		if !ok {
			continue
		}
		if score := u.Score(free, size); score < lowest-epsilon {
			best, lowest = i, score
		}
	}
	return best
}
