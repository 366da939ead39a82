package lab

import (
	"net"
	"os"
	"sync/atomic"
)

// subnet is one lab's part of the loopback range: sidecar i reaches the
// stand-ins by an address of its own there, which tells them who calls.
type subnet byte

// address is sidecar i's, 127.subnet.x.y.
func (s subnet) address(i int) string {
	return net.IPv4(127, byte(s), byte((i+1)>>8), byte(i+1)).String()
}

// sidecar is who dialed this address; stranger for one not of the subnet.
func (s subnet) sidecar(ip net.IP) endpoint {
	if ip = ip.To4(); ip == nil || ip[1] != byte(s) || s == 0 {
		return unknownEndpoint
	}
	return endpoint(int(ip[2])<<8|int(ip[3])) - 1
}

var subnets atomic.Int32

// newSubnet picks another part of the loopback range for each lab of this process, and likely others for other processes.
func newSubnet() subnet { return subnet(16 + (os.Getpid()*7+int(subnets.Add(1)))%200) }
