package balance

// splitMix64 is a sequence of pseudo-random numbers from one seed (SplitMix64,
// Steele, Lea and Flood, OOPSLA 2014).
type splitMix64 uint64

func (s *splitMix64) next() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// float returns a number in [0, 1).
func (s *splitMix64) float() float64 { return float64(s.next()>>11) / (1 << 53) }

// intN returns a number in [0, n) for small n.
func (s *splitMix64) intN(n int) int { return int(uint64(uint32(s.next())) * uint64(n) >> 32) }
