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

var here, there = netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")

// pair joins two links by a network that loses, doubles and reorders; long counts datagrams over the bound.
func pair(seed uint64, loss float64, delay time.Duration, o Options) (a, b *Transport, long *int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	long = new(int)
	carry := func(from netip.AddrPort, to **Transport) func([]byte, netip.AddrPort) error {
		return func(data []byte, _ netip.AddrPort) error {
			mu.Lock()
			defer mu.Unlock()
			if len(data) > MaxSize {
				*long++
			}
			copies := 1
			if random.Float64() < loss {
				copies = 2 * random.IntN(2) // lost, or doubled
			}
			for range copies {
				held := bytes.Clone(data)
				time.AfterFunc(time.Duration(random.Int64N(int64(delay)+1)), func() { (*to).Deliver(from, held) })
			}
			return nil
		}
	}
	a, b = New(carry(here, &b), o), New(carry(there, &a), o)
	return a, b, long
}

// streamCount counts the streams that are there, and those that count as open though they are not.
func (s *Streams) streamCount() int {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	return max(len(s.streams), s.openCount)
}

// What is written to a stream arrives whole and in order, both ways, over a bad network, also after its writer closed it.
func TestStreamsOverABadNetwork(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.2, 0.4} {
		synctest.Test(t, func(t *testing.T) {
			a, b, long := pair(7, loss, 50*time.Millisecond, Options{})
			dialer, listener := NewStreams(a), NewStreams(b)
			question, answer := make([]byte, 30_000), make([]byte, 50_000)
			for i := range question {
				question[i] = byte(i * 7 >> 3)
			}
			copy(answer, question[1000:])
			conn, err := dialer.Dial(there)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := conn.Write(question); n != len(question) || err != nil {
				t.Fatal(n, err)
			}
			other := <-listener.Accepted()
			other.SetDeadline(time.Now().Add(20 * time.Second))
			got := make([]byte, len(question))
			if _, err := io.ReadFull(other, got); err != nil || !bytes.Equal(got, question) {
				t.Fatalf("loss %v: the question came as another, %v", loss, err)
			}
			other.Write(answer)
			other.Close() // what is not yet acknowledged goes on
			got = make([]byte, len(answer))
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, answer) {
				t.Errorf("loss %v: the answer came as another, %v", loss, err)
			}
			conn.Close()
			time.Sleep(2 * maxDrainPeriod)
			if dialer.streamCount()+listener.streamCount() > 0 || len(listener.accepted) > 0 || *long > 0 {
				t.Errorf("left over: %d and %d streams, %d opened anew; %d datagrams too long", dialer.streamCount(), listener.streamCount(), len(listener.accepted), *long)
			}
		})
	}
}

// Streams that nobody answers or reads end, and there are no more than so many.
func TestStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _ := pair(1, 0, 0, Options{})
		dialer := NewStreams(a)
		NewStreams(b)
		for range maxOpenStreams {
			conn, err := dialer.Dial(there)
			if err != nil {
				t.Fatal(err)
			}
			conn.Write([]byte("a"))
		}
		if _, err := dialer.Dial(there); !errors.Is(err, ErrTooManyStreams) {
			t.Errorf("one stream more: %v", err)
		}
		time.Sleep(maxStreamLifetime + maxDrainPeriod)
		conn, err := dialer.Dial(there)
		if err != nil || dialer.streamCount() != 1 {
			t.Errorf("%d streams outlive their time, %v", dialer.streamCount()-1, err)
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a read with nothing to come ended well")
		}
		if _, err := conn.Write(make([]byte, 2*maxQueuedBytes)); err == nil {
			t.Error("more was written than a stream holds")
		}
		dialer.Close()
		time.Sleep(time.Minute)
	})
}

// Over the budget datagrams are held back and counted, news never; what is too long is not sent.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, _ := pair(1, 0, 0, Options{MaxRate: 10})
		for range 100 {
			a.Send(there, []byte{byte(ChannelPackets), 1})
			a.Send(there, []byte{byte(ChannelGossip), 1})
		}
		counts, _ := a.Counts()
		if p, n := counts[ChannelPackets], counts[ChannelGossip]; p.SentDatagrams != 20 || p.RateLimited != 80 || n.SentDatagrams != 100 || n.RateLimited != 0 {
			t.Errorf("at once, with 10 a second, half of it, and 4 s of that: %+v, news %+v", p, n)
		}
		time.Sleep(time.Second)
		if a.Send(there, []byte{byte(ChannelPackets)}) != nil {
			t.Error("held back with budget left")
		}
		if a.Send(there, make([]byte, MaxSize+1)) == nil || a.Send(there, nil) == nil {
			t.Error("a datagram was sent that must not be")
		}
		time.Sleep(time.Second) // what is under way arrives
	})
}

// FuzzDeliver: nothing that a stranger sends harms a link and its streams.
func FuzzDeliver(f *testing.F) {
	var once sync.Once
	first := make(chan []byte, 1)
	l := New(func(data []byte, _ netip.AddrPort) error {
		once.Do(func() { first <- bytes.Clone(data) })
		return nil
	}, Options{})
	s := NewStreams(l)
	conn, err := s.Dial(there)
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
			l.Deliver(there, data)
		}
		for len(s.accepted) > 0 {
			(<-s.accepted).Close()
		}
	})
}
