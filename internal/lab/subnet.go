package lab

import (
	"net"
	"os"
	"sync/atomic"
)

// subnet is the part of the loopback range that one lab uses: the second byte of
// its addresses. Each sidecar reaches the fake servers on an address of its own
// in the subnet, by which they identify the caller.
type subnet byte

// address returns the address of sidecar i, 127.subnet.x.y.
func (s subnet) address(i int) string {
	return net.IPv4(127, byte(s), byte((i+1)>>8), byte(i+1)).String()
}

// sidecar returns the sidecar that an address belongs to, unknownEndpoint for an address outside the subnet.
func (s subnet) sidecar(ip net.IP) endpoint {
	if ip = ip.To4(); ip == nil || ip[1] != byte(s) || s == 0 {
		return unknownEndpoint
	}
	return endpoint(int(ip[2])<<8|int(ip[3])) - 1
}

// subnets is the number of subnets returned by newSubnet.
var subnets atomic.Int32

// newSubnet returns a different subnet for each lab of this process, repeating after 200. Those of other processes are
// probably different ones, since their process ids are.
func newSubnet() subnet { return subnet(16 + (os.Getpid()*7+int(subnets.Add(1)))%200) }
