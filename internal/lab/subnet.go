package lab

import (
	"net"
	"os"
	"sync/atomic"
)

// subnet is one lab's part of the loopback range: sidecar i reaches the fake
// servers by an address of its own there, by which they identify the caller.
type subnet byte

// address is the address of sidecar i, 127.subnet.x.y.
func (s subnet) address(i int) string {
	return net.IPv4(127, byte(s), byte((i+1)>>8), byte(i+1)).String()
}

// sidecar returns the sidecar of an address, unknownEndpoint for one outside the subnet.
func (s subnet) sidecar(ip net.IP) endpoint {
	if ip = ip.To4(); ip == nil || ip[1] != byte(s) || s == 0 {
		return unknownEndpoint
	}
	return endpoint(int(ip[2])<<8|int(ip[3])) - 1
}

var subnets atomic.Int32

// newSubnet returns another subnet for each lab of this process, and probably others than in other processes.
func newSubnet() subnet { return subnet(16 + (os.Getpid()*7+int(subnets.Add(1)))%200) }
