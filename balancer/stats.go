package balancer

import "math"

// ewma is a moving average whose first sample is taken whole.
type ewma struct {
	value       float64
	initialized bool
}

func (a *ewma) add(x, weight float64) {
	if !a.initialized {
		a.value, a.initialized = x, true
		return
	}
	a.value += (x - a.value) * weight
}

func (a *ewma) valueOr(fallback float64) float64 {
	if a.initialized {
		return a.value
	}
	return fallback
}

// indicator counts a yes as a whole.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// rateMeter is a rate a second, averaged over about two seconds.
type rateMeter struct {
	sum       float64
	updatedAt Micros
}

const rateWindow = 2 * second

func (m *rateMeter) add(now Micros, x float64) { m.sum, m.updatedAt = m.decayed(now)+x, now }

func (m *rateMeter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateWindow))
}

func (m *rateMeter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateWindow)
}

// randomSource is a SplitMix64 generator.
type randomSource uint64

// float returns a number in [0,1).
func (s *randomSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// below returns a duration in [0,d).
func (s *randomSource) below(d Micros) Micros { return Micros(s.float() * float64(d)) }
