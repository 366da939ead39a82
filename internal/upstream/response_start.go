package upstream

import "bramblestand/internal/bodybuffer"

// bufferGrowth is how many bytes append may allocate for each byte that it adds.
const bufferGrowth = 2

// startMemory is the memory of the buffered start of a response.
type startMemory struct {
	memory     BodyMemory
	bytes      int64
	spareBytes int64
}

// grow reserves memory for n bytes that are added to a start of the given length. It reports whether there is enough. What is
// longer than a small buffer gets spare memory only, since it can be forwarded as it arrives.
func (s *startMemory) grow(length, n int) bool {
	bytes := int64(bufferGrowth * n)
	if length+n <= bodybuffer.SmallSize {
		isReserved := s.memory.Reserve(bytes)
		if isReserved {
			s.bytes += bytes
		}
		return isReserved
	}
	isReserved := s.memory.ReserveSpare(bytes)
	if isReserved {
		s.spareBytes += bytes
	}
	return isReserved
}

// giveBack ends the reservations.
func (s *startMemory) giveBack() {
	s.memory.Unreserve(s.bytes, s.spareBytes)
	s.bytes, s.spareBytes = 0, 0
}
