package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/controltraffic"
	"bramblestand/internal/state"
)

const (
	MaxWait     = 20 * time.Second // a watch call is held so long without news
	ListTimeout = 4 * time.Second  // beyond that: discovery works through calls in turn
	// News counts as told 2 s after a wait's end, whether the answer has come or
	// not: by then the list has been asked for again.
	waitGrace    = time.Second
	maxListBytes = 8 << 20 // bytes of a list

	// A watch ends when its next call comes later than 200 ms after the last
	// answer; calls without any pause could become a flood.
	watchCallDelay = 20 * time.Millisecond
	// Where lists are pushed the balancer never asks: the watch begins again by itself.
	ResubscribeDelay = 500 * time.Millisecond
)

// List is a list of endpoints, or of changes, in discovery's form.
type List struct {
	Version   uint64     `json:"seq"`
	IsFull    bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one entry of discovery's list; the state file keeps it as it is.
type Endpoint = state.Endpoint

var States = map[string]balancer.EndpointState{
	"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed,
}

// Validate keeps entries that nothing could be sent to from the balancer.
func (r *List) Validate() error {
	for i, h := range r.Endpoints {
		state, ok := States[h.Health]
		switch {
		case h.Name == "":
			return fmt.Errorf("hosts[%d].host is missing", i)
		case !ok:
			return fmt.Errorf("hosts[%d].health: %q is not a known state", i, h.Health)
		case state == balancer.Ready:
			if _, _, err := net.SplitHostPort(h.Address); err != nil {
				return fmt.Errorf("hosts[%d].dial: %q is not host:port", i, h.Address)
			}
		}
	}
	return nil
}

// Client calls the service that lists endpoints.
type Client struct {
	Address string
	url     string
	HTTP    http.Client
	Traffic *controltraffic.Counter // counts the calls; nil where nobody is told
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

func NewClient(address string) *Client {
	d := &Client{Address: address, url: "http://" + address + "/registry/instances", Dial: new(net.Dialer).DialContext}
	d.HTTP.Transport = &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: d.connect}
	return d
}

// connect opens a connection, or gives up as the call does that wants it: net/http would leave it to come up, and the
// system would try for minutes, at ever longer intervals, while later calls stand behind it.
func (d *Client) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ListTimeout)
	defer cancel()
	return d.Dial(ctx, network, address)
}

// List makes one call. With after it asks for what is newer than that version,
// which may be 0, and waits for news as long as wait; without, for the whole list.
func (d *Client) List(ctx context.Context, after *uint64, wait time.Duration) (List, error) {
	patience := ListTimeout
	if wait > 0 && after != nil {
		patience = wait + waitGrace
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := d.url
	if after != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, *after, wait.Milliseconds())
	}
	var list List
	request, err := http.NewRequestWithContext(d.traced(ctx), http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	response, err := d.HTTP.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return list, err
	}
	d.Traffic.AddReceived(0, true)
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", response.Status)
	}
	if list, err = ParseList(body); err != nil {
		return list, fmt.Errorf("discovery's answer: %w", err)
	}
	if after != nil && !list.IsFull && list.Version < *after {
		// Discovery has begun anew: changes since an older version say nothing of the list that is held.
		return list, fmt.Errorf("discovery's answer: seq: %w: %d after %d", ErrOlderVersion, list.Version, *after)
	}
	return list, nil
}

// ErrOlderVersion says that a list of changes is of an earlier version than the list that is held.
var ErrOlderVersion = errors.New("changes of an older version")

// ParseList reads a list as discovery sends it.
func ParseList(body []byte) (List, error) {
	var list List
	// Without these an answer cut short, or of something else, would pass for news that there is none.
	given := struct {
		Seq   *uint64 `json:"seq"`
		Whole *bool   `json:"whole"`
	}{}
	if err := errors.Join(json.Unmarshal(body, &given), json.Unmarshal(body, &list)); err != nil {
		return list, err
	}
	if given.Seq == nil {
		return list, errors.New("seq is missing")
	}
	if given.Whole == nil {
		return list, errors.New("whole is missing")
	}
	return list, list.Validate()
}

// Watch reports what discovery tells until a call fails, which it reports too.
// The first call does not wait for news: its answer is the balancer's sign that
// the watch has begun. After is the version to go on from, nil if there was no
// list yet; so is what it returns.
func (d *Client) Watch(ctx context.Context, after *uint64, tell func(balancer.UpdateKind, List)) (*uint64, error) {
	for wait := time.Duration(0); ; wait = MaxWait {
		list, err := d.List(ctx, after, wait)
		if errors.Is(err, ErrOlderVersion) {
			after = nil // which asks for the whole list
			continue
		}
		if err != nil {
			tell(balancer.UpdateFailed, List{})
			return after, err
		}
		after = &list.Version
		kind := balancer.UpdateDelta
		if list.IsFull {
			kind = balancer.UpdateFull
		}
		tell(kind, list)
		time.Sleep(watchCallDelay)
	}
}

// CountTraffic has the calls counted from here on; none may have been made. A nil flow changes nothing.
func (d *Client) CountTraffic(f *controltraffic.Counter) {
	transport, ok := d.HTTP.Transport.(*http.Transport)
	if f == nil || !ok {
		return
	}
	d.Traffic = f
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.connect(ctx, network, address)
		f.AddDial(err)
		if err != nil {
			return nil, err
		}
		return controltraffic.Conn{Conn: conn, Counter: f}, nil
	}
}

// traced is ctx with the requests counted as they are written, which the transport may do anew on another connection.
func (d *Client) traced(ctx context.Context) context.Context {
	if d.Traffic == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		d.Traffic.AddSent(0, info.Err == nil)
	}})
}
