package balancer

import (
	"container/heap"
	"encoding/binary"
	"hash"
	"math"
	"testing"
)

// The codes of the records that are written to a digest.
const (
	recordSend     = 'S'
	recordReject   = 'R'
	recordFail     = 'F'
	recordCancel   = 'C'
	recordTimer    = 'T'
	recordProbe    = 'P'
	recordGossip   = 'N'
	recordWatch    = 'W'
	recordSnapshot = 'K'
)

// scriptRandom is a SplitMix64 generator, separate from the balancer's own.
type scriptRandom uint64

func (r *scriptRandom) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (r *scriptRandom) float() float64        { return float64(r.next()>>11) / (1 << 53) }
func (r *scriptRandom) below(n int) int       { return int(r.next() % uint64(n)) }
func (r *scriptRandom) chance(p float64) bool { return r.float() < p }
func (r *scriptRandom) micros(mean float64) Micros {
	return 1 + Micros(-mean*math.Log(1-r.float()))
}

// scriptEvent is one event of the queue. Events at the same time keep the order in which they were posted.
type scriptEvent struct {
	at       Micros
	sequence int
	handle   func(now Micros)
}

type scriptQueue []scriptEvent

func (q scriptQueue) Len() int { return len(q) }
func (q scriptQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q scriptQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *scriptQueue) Push(x any)   { *q = append(*q, x.(scriptEvent)) }
func (q *scriptQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

// scriptServer is the fake endpoint of an entry in the endpoint list.
type scriptServer struct {
	entry       Endpoint
	inflight    int
	speedFactor float64
	faulty      bool
}

// scriptRequest is the state of a request at its fake client.
type scriptRequest struct {
	class    uint8
	work     float64
	upload   bool
	attempts int
}

// scriptOptions configures a script: the balancer's settings and the events.
type scriptOptions struct {
	name      string
	settings  Settings
	servers   int
	rate      float64 // requests per second
	work      float64 // mean service time, in microseconds
	hints     float64 // fraction of the requests with a cost hint
	uploads   float64 // fraction of the requests whose body is uploaded
	operators bool    // runOperatorAction is called now and then
	outages   float64 // mean time between calls of changeHealth, in microseconds; 0 for none
	lateLoad  bool    // load reports are often late
	length    Micros
}

// script runs events against one balancer and is its host.
type script struct {
	t                  *testing.T
	options            scriptOptions
	balancer           *Balancer
	random             scriptRandom
	queue              scriptQueue
	now                Micros
	sequence           int
	generation         int // counts the balancers: events for an earlier one are dropped
	digest             hash.Hash
	events             int
	actions            map[byte]int
	servers            []*scriptServer
	requests           map[uint64]*scriptRequest
	latencyFactor      float64 // of all fake endpoints; 1 is normal
	failureProbability float64 // of an attempt at any fake endpoint
	nextID             uint64
}

// post schedules an event, which is dropped if the balancer is restarted before.
func (s *script) post(delay Micros, run func(now Micros)) {
	generation := s.generation
	s.sequence++
	heap.Push(&s.queue, scriptEvent{s.now + max(0, delay), s.sequence, func(now Micros) {
		if generation == s.generation {
			s.events++
			run(now)
		}
	}})
}

// every repeats an event at random intervals until the end of the script.
func (s *script) every(mean float64, run func(now Micros)) {
	s.sequence++
	heap.Push(&s.queue, scriptEvent{s.now + s.random.micros(mean), s.sequence, func(now Micros) {
		s.events++
		run(now)
		s.every(mean, run)
	}})
}

func (s *script) record(code byte, values ...uint64) {
	s.actions[code]++
	data := binary.BigEndian.AppendUint64([]byte{code}, uint64(s.now))
	for _, v := range values {
		data = binary.BigEndian.AppendUint64(data, v)
	}
	s.digest.Write(data)
}

func (s *script) server(id uint32) *scriptServer {
	if int(id) > len(s.servers) || id == 0 {
		return nil
	}
	return s.servers[id-1]
}

// StartAttempt schedules the outcome of an attempt at a fake endpoint, with a random status.
func (s *script) StartAttempt(id uint64, endpoint uint32, timeout, _ Micros) {
	s.record(recordSend, id, uint64(endpoint), uint64(timeout))
	request, server := s.requests[id], s.server(endpoint)
	attempt := request.attempts
	request.attempts++
	if request.upload {
		request.upload = false
		deadline := s.options.settings.Classes[request.class].ClientTimeout
		s.post(s.random.micros(20_000), func(now Micros) { s.balancer.BodySent(now, id, now+deadline) })
	}
	status := s.randomStatus(server)
	latency := 500 + Micros(s.latencyFactor*request.work/server.speedFactor*(0.5+s.random.float())*max(1, float64(server.inflight+1)/2))
	if server.entry.Zone != 0 {
		latency += 4_000
	}
	switch status {
	case Rejected, ConnectFailed, NotSent:
		latency = 300 + latency/20
	case Timeout:
		latency = s.options.settings.Classes[request.class].ClientTimeout / 2
		if s.random.chance(0.5) {
			latency *= 4 // no answer by the client's deadline
		}
	}
	server.inflight++
	if s.options.settings.Classes[request.class].Streaming && status != Rejected && s.random.chance(0.8) {
		s.post(latency, func(now Micros) { s.balancer.ResponseStarted(now, id, attempt, latency) })
		latency += s.random.micros(300_000)
	}
	outcome := Outcome{ID: id, Attempt: attempt, Endpoint: endpoint, Status: status, Latency: latency,
		RequestDone: s.random.chance(0.02), BodyConsumed: s.random.chance(0.1)}
	s.post(latency, func(now Micros) {
		server.inflight--
		outcome.LoadReport = s.loadReport(server)
		s.balancer.AttemptFinished(now, outcome)
	})
}

// randomStatus draws the status with which an attempt at a fake endpoint ends.
func (s *script) randomStatus(server *scriptServer) Status {
	fault := s.failureProbability
	if server.faulty {
		fault = 0.7
	}
	if server.inflight > 10 {
		return Rejected
	}
	if !s.random.chance(fault) {
		return OK
	}
	return Error + Status(s.random.below(int(NotSent)))
}

func (s *script) loadReport(server *scriptServer) []float32 {
	inFlight := float64(server.inflight)
	if s.options.lateLoad && s.random.chance(0.5) {
		inFlight = 0
	}
	var load []float32
	for _, field := range s.options.settings.LoadReportFields {
		value := math.NaN()
		switch field {
		case LoadFieldInFlight:
			value = inFlight
		case LoadFieldQueueLength:
			value = max(0, inFlight-2)
		case LoadFieldUtilization:
			value = min(1, inFlight/2)
		case LoadFieldServiceTime:
			value = s.options.work / server.speedFactor / 1000 * (0.8 + 0.4*s.random.float())
		case LoadFieldThroughput:
			value = 20
		}
		if s.random.chance(0.01) {
			value = -1
		}
		load = append(load, float32(value))
	}
	if len(load) > 1 && s.random.chance(0.01) {
		load = load[:1]
	}
	return load
}

func (s *script) Reject(id uint64, after Micros, _ RejectReason) {
	s.record(recordReject, id, uint64(after))
}
func (s *script) Fail(id uint64) { s.record(recordFail, id) }

// CancelAttempt schedules a cancelled outcome soon. The attempt's own outcome then arrives as a second one.
func (s *script) CancelAttempt(id uint64, attempt int) {
	s.record(recordCancel, id, uint64(attempt))
	s.post(1000, func(now Micros) {
		s.balancer.AttemptFinished(now, Outcome{ID: id, Attempt: attempt, Status: Cancelled, Latency: 1000})
	})
}

func (s *script) SetTimer(delay Micros, token uint32) {
	s.record(recordTimer, uint64(delay), uint64(token))
	s.post(delay, func(now Micros) { s.balancer.TimerFired(now, token) })
}

func (s *script) SendLoadProbe(endpoint uint32) {
	s.record(recordProbe, uint64(endpoint))
	server := s.server(endpoint)
	if s.random.chance(0.005) {
		return // the answer is lost
	}
	status, latency := OK, 300+s.random.micros(200)
	if server.entry.Zone != 0 {
		latency += 4_000
	}
	if server.inflight > 4 && s.random.chance(0.7) {
		latency += Micros(float64(server.inflight-2) / 2 * s.options.work)
	}
	if s.random.chance(0.02) || server.faulty && s.random.chance(0.5) {
		status = Error + Status(s.random.below(int(NotSent)))
		latency += s.random.micros(50_000)
	}
	s.post(latency, func(now Micros) { s.balancer.LoadProbeResult(now, endpoint, status, latency, s.loadReport(server)) })
}

// SendGossip records a message and delivers similar ones from other balancers, some of them late or malformed.
func (s *script) SendGossip(data []byte) {
	s.record(recordGossip, uint64(len(data)))
	s.digest.Write(data)
	for range 2 {
		message := append([]byte(nil), data...)
		other := s.servers[s.random.below(len(s.servers))]
		binary.BigEndian.PutUint32(message[1:], other.entry.ID)
		binary.BigEndian.PutUint16(message[5:], uint16(other.entry.StartTime/1000))
		message[7], message[8] = byte(other.inflight), byte(max(0, other.inflight-2))
		if s.random.chance(0.05) {
			message[s.random.below(len(message))]++
		}
		if s.random.chance(0.02) {
			message = message[:s.random.below(len(message))]
		}
		s.post(s.random.micros(20_000), func(now Micros) { s.balancer.ReceiveGossip(now, message) })
	}
}

// WatchEndpoints answers a subscription after a delay with the list or a failure, or not at all.
func (s *script) WatchEndpoints(on bool) {
	values := uint64(0)
	if on {
		values = 1
	}
	s.record(recordWatch, values)
	switch {
	case s.random.chance(0.3):
		s.post(s.random.micros(100_000), func(now Micros) { s.balancer.UpdateEndpoints(now, UpdateFailed, nil) })
	case s.random.chance(0.1):
	default:
		s.post(s.random.micros(100_000), func(now Micros) { s.balancer.UpdateEndpoints(now, UpdateFull, s.list()) })
	}
}

func (s *script) Log(string, ...LogField) {}

// list returns the complete endpoint list as discovery has it now.
func (s *script) list() []Endpoint {
	var list []Endpoint
	for _, server := range s.servers {
		if server.entry.State != Removed {
			list = append(list, server.entry)
		}
	}
	return list
}

func (s *script) addServer(started Micros) *scriptServer {
	id := uint32(len(s.servers) + 1)
	server := &scriptServer{speedFactor: 0.6 + 0.8*s.random.float(), entry: Endpoint{
		ID: id, Zone: uint8(id % 3), MachineType: uint8(id % 2), Pod: uint16(id % 7), State: Ready,
		Weight: float32(1 + id%2), StartTime: started,
	}}
	s.servers = append(s.servers, server)
	return server
}

// start creates the first balancer, or after a restart one that gets the learned state of its predecessor.
func (s *script) start(learned []EndpointSnapshot) {
	s.generation++
	var err error
	if s.balancer, err = New(s.options.settings, 1000+uint64(s.generation), s); err != nil {
		s.t.Fatal(err)
	}
	for _, server := range s.servers {
		server.inflight = 0
	}
	s.balancer.Start(s.now)
	s.balancer.UpdateEndpoints(s.now, UpdateCached, s.list())
	s.balancer.Restore(s.now, learned)
	if !s.options.settings.MustSubscribe {
		s.balancer.UpdateEndpoints(s.now, UpdateFull, s.list())
	}
}

func (s *script) snapshot(now Micros) []EndpointSnapshot {
	learned := s.balancer.Snapshot(now)
	for _, k := range learned {
		s.record(recordSnapshot, uint64(k.ID), math.Float64bits(k.LatencyBaseline), math.Float64bits(k.LatencyCurrent),
			math.Float64bits(k.ServiceTime), math.Float64bits(k.FailureRate))
	}
	return learned
}

// sendRequest sends a request to the balancer. The middle third of the script is an overload with twice the rate.
func (s *script) sendRequest(now Micros) {
	if third := s.options.length / 3; (now < third || now > 2*third) && s.random.chance(0.5) {
		return
	}
	s.nextID++
	class := uint8(s.random.below(len(s.options.settings.Classes)))
	request := &scriptRequest{class: class, work: s.options.work * (0.3 + 1.4*s.random.float()),
		upload: s.random.chance(s.options.uploads)}
	s.requests[s.nextID] = request
	in := Request{ID: s.nextID, Key: s.random.next(), Class: class, IsUploading: request.upload,
		Deadline: now + s.options.settings.Classes[class].ClientTimeout, IsRetry: s.random.chance(0.1),
		Tenant: uint16(min(s.random.below(4), s.random.below(4)))}
	if s.random.chance(s.options.hints) {
		in.HasCostHint, in.CostHint = true, Micros(request.work*(0.5+s.random.float()))
	}
	if s.random.chance(0.002) {
		in.Class = 200
	}
	if s.random.chance(0.002) {
		in.Deadline = now
	}
	s.balancer.RequestArrived(now, in)
	if id := in.ID; s.random.chance(0.03) {
		s.post(s.random.micros(100_000), func(now Micros) { s.balancer.ClientDisconnected(now, id) })
	}
	if s.random.chance(0.002) {
		s.balancer.RequestArrived(now, in) // repeated ID
	}
}

// changeEndpoints changes the endpoint list: endpoints are added, drained, removed, restarted or moved to another zone.
func (s *script) changeEndpoints(now Micros) {
	server := s.servers[s.random.below(len(s.servers))]
	changed := []Endpoint{}
	switch s.random.below(6) {
	case 0:
		server.entry.State = Draining
	case 1:
		server.entry.State = Removed
	case 2:
		server.entry.State, server.entry.StartTime = Ready, now
	case 3:
		server.entry.Zone = uint8(s.random.below(3))
		server.entry.Weight = float32(s.random.below(4))
	case 4:
		started := now
		if s.random.chance(0.5) {
			started = 0
		}
		added := s.addServer(started)
		changed = append(changed, added.entry)
	case 5:
		server.faulty = !server.faulty
	}
	changed = append(changed, server.entry)
	switch s.random.below(8) {
	case 0:
		s.balancer.UpdateEndpoints(now, UpdateFull, s.list())
	case 1:
		s.balancer.UpdateEndpoints(now, UpdateFailed, nil)
	default:
		s.balancer.UpdateEndpoints(now, UpdateDelta, changed)
	}
}

// runOperatorAction bans or reinstates endpoints, changes the process count or fleet size, or restarts the balancer.
func (s *script) runOperatorAction(now Micros) {
	id := uint32(1 + s.random.below(len(s.servers)+2))
	switch s.random.below(8) {
	case 0, 1:
		s.balancer.Ban(now, id)
	case 2, 3, 4:
		for id := range uint32(len(s.servers) + 3) {
			if s.random.chance(0.5) {
				s.balancer.Unban(now, id)
			}
		}
	case 5:
		s.balancer.SetProcessCount(1 + s.random.below(2))
	case 6:
		s.balancer.SetFleetSize(s.random.below(6))
	case 7:
		if learned := s.snapshot(now); s.random.chance(0.3) {
			if len(learned) > 2 {
				learned[0].LatencyBaseline, learned[1].FailureRate = math.Inf(1), -1
			}
			s.start(append(learned, EndpointSnapshot{ID: 1 << 20}))
		}
	}
}

// changeHealth makes the fleet slow, makes it fail or restores it.
func (s *script) changeHealth(Micros) {
	s.latencyFactor, s.failureProbability = 1, 0.02
	switch s.random.below(4) {
	case 0:
		s.latencyFactor = 12
	case 1:
		s.failureProbability = 0.9
	}
}

func (s *script) run() {
	s.latencyFactor, s.failureProbability = 1, 0.02
	for range s.options.servers {
		s.addServer(0)
	}
	s.start(nil)
	s.every(1e6/s.options.rate, s.sendRequest)
	s.every(700_000, s.changeEndpoints)
	if s.options.operators {
		s.every(900_000, s.runOperatorAction)
	}
	if s.options.outages > 0 {
		s.every(s.options.outages, s.changeHealth)
	}
	for s.queue.Len() > 0 && s.now < s.options.length {
		event := heap.Pop(&s.queue).(scriptEvent)
		s.now = event.at
		event.handle(event.at)
	}
	s.snapshot(s.now)
}
