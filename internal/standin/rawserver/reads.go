package rawserver

import (
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
)

// readConn counts the bytes that are read from a connection.
type readConn struct {
	net.Conn
	read *atomic.Int64
}

// CountReads returns the connection, whose read bytes are added to read.
func CountReads(conn net.Conn, read *atomic.Int64) net.Conn { return readConn{Conn: conn, read: read} }

// Read implements net.Conn.
func (c readConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// unknownBufferBytes stands for the largest buffer of a kernel that doesn't tell it.
const unknownBufferBytes = 32 << 20

// KernelBytes returns how many bytes the kernel holds at most of what is sent and not read on a
// connection.
func KernelBytes() int64 {
	return largestBuffer("/proc/sys/net/ipv4/tcp_rmem") + largestBuffer("/proc/sys/net/ipv4/tcp_wmem")
}

// largestBuffer returns the last of the numbers in a file.
func largestBuffer(path string) int64 {
	raw, err := os.ReadFile(path)
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) == 0 {
		return unknownBufferBytes
	}
	size, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
	if err != nil {
		return unknownBufferBytes
	}
	return size
}
