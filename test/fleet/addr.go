package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// Ports are taken below those that the kernel gives to outgoing
	// connections. A port that it gave out and took back could be such a
	// connection's by the time a process listens on it.
	firstPort = 10_000
	ports     = 20_000
	// portStep spreads the first port of programs that run at once.
	portStep = 397
)

// nextPort counts the addresses that this program has given out.
var nextPort atomic.Int64

// Addr returns a free loopback address, each one once.
func Addr() (string, error) {
	for range ports {
		port := firstPort + (int64(os.Getpid())*portStep+nextPort.Add(1))%ports
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		li, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, eris.Wrap(li.Close(), "free port")
	}
	return "", eris.New("no free port")
}
