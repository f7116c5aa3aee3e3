// Package loopback gives out addresses of this machine for tests, stand-ins and
// demonstrations that must know an address before anything listens on it.
//
// Each address has an IP number of its own out of 127.0.0.0/8, made from the
// process id. A port that was found free on 127.0.0.1 can be taken by any
// outgoing connection before its listener opens it; outgoing connections on
// loopback come from 127.0.0.1 and so never take one of these.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// firstPort is below the ports that systems hand out by themselves.
	firstPort = 17400
	// hostsPerPort is the number of last octets used, 1 to 250.
	hostsPerPort = 250
	// maxPorts bounds the addresses of one process.
	maxPorts = 10_000
)

var issued atomic.Uint32

// Addr returns an address that no other call in this process gets and that no
// other live process with another id below 65,536 gets either.
func Addr() string {
	n := issued.Add(1) - 1
	port := firstPort + (n/hostsPerPort)%maxPorts
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", pid>>8&0xff, pid&0xff, n%hostsPerPort+1, port)
}

// Addrs returns n such addresses.
func Addrs(n int) []string {
	addrs := make([]string, n)
	for i := range addrs {
		addrs[i] = Addr()
	}
	return addrs
}
