//go:build go1.25

package datagram

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Addresses of the two transports of a pair.
var addressA, addressB = netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")

// newPair returns two transports that are connected by a network with loss, duplication and reordering. oversized counts
// datagrams over MaxSize.
func newPair(seed uint64, loss float64, delay time.Duration, o Options) (a, b *Transport, oversized *int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var randomMu sync.Mutex
	oversized = new(int)
	transmit := func(from netip.AddrPort, to **Transport) SendFunc {
		return func(data []byte, _ netip.AddrPort) error {
			randomMu.Lock()
			defer randomMu.Unlock()
			if len(data) > MaxSize {
				*oversized++
			}
			copies := 1
			if random.Float64() < loss {
				copies = 2 * random.IntN(2) // 0 or 2: lost or duplicated
			}
			for range copies {
				received := bytes.Clone(data)
				time.AfterFunc(time.Duration(random.Int64N(int64(delay)+1)), func() { (*to).Deliver(from, received) })
			}
			return nil
		}
	}
	a, b = New(transmit(addressA, &b), o), New(transmit(addressB, &a), o)
	return a, b, oversized
}

// streamCount returns the number of registered streams or the count of open ones, whichever is larger.
func (s *Streams) streamCount() int {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	return max(len(s.streams), s.openCount)
}

// Data arrives complete and in order in both directions over a lossy network, also if its writer has closed the stream.
// No stream remains or is opened again afterwards.
func TestStreamsDeliverInOrderOverLossyNetwork(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.2, 0.4} {
		synctest.Test(t, func(t *testing.T) {
			a, b, oversized := newPair(7, loss, 50*time.Millisecond, Options{})
			dialer, listener := NewStreams(a), NewStreams(b)
			question, answer := make([]byte, 30_000), make([]byte, 50_000)
			for i := range question {
				question[i] = byte(i * 7 >> 3)
			}
			copy(answer, question[1000:])
			conn, err := dialer.Dial(addressB)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := conn.Write(question); n != len(question) || err != nil {
				t.Fatal(n, err)
			}
			accepted := <-listener.Accepted()
			accepted.SetDeadline(time.Now().Add(20 * time.Second))
			got := make([]byte, len(question))
			if _, err := io.ReadFull(accepted, got); err != nil || !bytes.Equal(got, question) {
				t.Fatalf("loss %v: the question is not what was written, %v", loss, err)
			}
			accepted.Write(answer)
			accepted.Close() // unacknowledged data is still sent
			got = make([]byte, len(answer))
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, answer) {
				t.Errorf("loss %v: the answer is not what was written, %v", loss, err)
			}
			conn.Close()
			time.Sleep(2 * maxDrainPeriod)
			if dialer.streamCount()+listener.streamCount() > 0 || len(listener.accepted) > 0 || *oversized > 0 {
				t.Errorf("remaining: %d and %d streams, %d opened anew; %d datagrams over the size limit", dialer.streamCount(), listener.streamCount(), len(listener.accepted), *oversized)
			}
		})
	}
}

// The number of open streams is limited, and streams that are not closed end after their lifetime. A read without data
// fails at its deadline, and a write larger than the queue fails.
func TestStreamsExpireAndAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _ := newPair(1, 0, 0, Options{})
		dialer := NewStreams(a)
		NewStreams(b)
		for range maxOpenStreams {
			conn, err := dialer.Dial(addressB)
			if err != nil {
				t.Fatal(err)
			}
			conn.Write([]byte("a"))
		}
		if _, err := dialer.Dial(addressB); !errors.Is(err, ErrTooManyStreams) {
			t.Errorf("dial of a stream over the limit: %v", err)
		}
		time.Sleep(maxStreamLifetime + maxDrainPeriod)
		conn, err := dialer.Dial(addressB)
		if err != nil || dialer.streamCount() != 1 {
			t.Errorf("%d streams outlive their lifetime, %v", dialer.streamCount()-1, err)
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a read without data before its deadline succeeded")
		}
		if _, err := conn.Write(make([]byte, 2*maxQueuedBytes)); err == nil {
			t.Error("a write larger than the queue succeeded")
		}
		dialer.Close()
		time.Sleep(time.Minute)
	})
}

// Datagrams over the rate limit are counted and not sent, except gossip. Datagrams with an invalid size or channel are not
// sent.
func TestRateLimitExceptsGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, _ := newPair(1, 0, 0, Options{MaxRate: 10})
		for range 100 {
			a.Send(addressB, []byte{byte(ChannelPackets), 1})
			a.Send(addressB, []byte{byte(ChannelGossip), 1})
		}
		counts, _ := a.Counts()
		packets, gossip := counts[ChannelPackets], counts[ChannelGossip]
		if packets.SentDatagrams != 20 || packets.RateLimited != 80 || gossip.SentDatagrams != 100 || gossip.RateLimited != 0 {
			t.Errorf("a burst of 4 s at half of 10 per second: packets %+v, gossip %+v", packets, gossip)
		}
		time.Sleep(time.Second)
		if err := a.Send(addressB, []byte{byte(ChannelPackets)}); err != nil {
			t.Errorf("a datagram a second later: %v", err)
		}
		for _, data := range [][]byte{make([]byte, MaxSize+1), nil, {channelCount}} {
			if err := a.Send(addressB, data); !errors.Is(err, ErrInvalidDatagram) {
				t.Errorf("a datagram of %d bytes: %v", len(data), err)
			}
		}
		time.Sleep(time.Second) // until the last datagrams have arrived
	})
}

// FuzzDeliver checks that a transport and its streams do not panic on any received datagram.
func FuzzDeliver(f *testing.F) {
	var once sync.Once
	first := make(chan []byte, 1)
	transport := New(func(data []byte, _ netip.AddrPort) error {
		once.Do(func() { first <- bytes.Clone(data) })
		return nil
	}, Options{})
	streams := NewStreams(transport)
	conn, err := streams.Dial(addressB)
	if err != nil {
		f.Fatal(err)
	}
	conn.Write([]byte("hello"))
	sent := <-first
	f.Add(sent)
	f.Add(append([]byte{byte(ChannelToDialer)}, sent[1:]...))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 0 {
			transport.Deliver(addressB, data)
		}
		for len(streams.accepted) > 0 {
			(<-streams.accepted).Close()
		}
	})
}
