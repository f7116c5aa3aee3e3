// Package loopback allocates loopback addresses for tests, stand-ins and
// demonstrations that need an address before anything listens on it.
//
// The IP address is taken from 127.0.0.0/8 and contains the lower 16 bits of the
// process id. A free port of 127.0.0.1 is not used, because any outgoing connection
// can take it before the listener opens it. Outgoing connections on loopback have
// the source address 127.0.0.1, so they never take one of these addresses.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// firstPort is below the ephemeral ports of common systems.
	firstPort = 17400
	// hostsPerPort is the number of values of the last octet, 1 to 250.
	hostsPerPort = 250
	// maxPorts is the number of ports after which addresses repeat.
	maxPorts = 10_000
)

// issued is the number of addresses returned by Addr.
var issued atomic.Uint32

// Addr returns an address that differs from those of earlier calls, until all
// hostsPerPort*maxPorts addresses are used, and from those of other processes whose
// ids differ in the lower 16 bits.
func Addr() string {
	n := issued.Add(1) - 1
	port := firstPort + (n/hostsPerPort)%maxPorts
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", pid>>8&0xff, pid&0xff, n%hostsPerPort+1, port)
}

// Addrs returns n addresses as Addr does.
func Addrs(n int) []string {
	addrs := make([]string, n)
	for i := range addrs {
		addrs[i] = Addr()
	}
	return addrs
}
