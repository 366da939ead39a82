package balancer

import "math"

// ewma is an exponentially weighted moving average. The first sample sets its value.
type ewma struct {
	value       float64
	initialized bool
}

// add includes a sample with a weight from 0 to 1.
func (a *ewma) add(sample, weight float64) {
	if !a.initialized {
		a.value, a.initialized = sample, true
		return
	}
	a.value += (sample - a.value) * weight
}

// valueOr returns the average, or a fallback before the first sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.initialized {
		return a.value
	}
	return fallback
}

// rateWindow is the time constant of a rateMeter.
const rateWindow = 2 * second

// rateMeter measures a rate per second, with exponential decay.
type rateMeter struct {
	sum       float64 // at updatedAt
	updatedAt Micros
}

// add counts an amount at the time now.
func (m *rateMeter) add(now Micros, amount float64) {
	m.sum, m.updatedAt = m.decayed(now)+amount, now
}

// rate returns the rate per second now.
func (m *rateMeter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateWindow)
}

func (m *rateMeter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateWindow))
}

// randomSource is a SplitMix64 generator.
type randomSource uint64

// float returns a random number in [0, 1).
func (s *randomSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// below returns a random duration in [0, limit).
func (s *randomSource) below(limit Micros) Micros { return Micros(s.float() * float64(limit)) }

// element returns a random element of a list that is not empty.
func (s *randomSource) element(list []*endpoint) *endpoint {
	return list[int(s.float()*float64(len(list)))]
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// roundTenths rounds to one decimal, for log fields.
func roundTenths(x float64) float64 { return math.Round(10*x) / 10 }
