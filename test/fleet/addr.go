package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// Ports are taken below those that the kernel gives to outgoing
	// connections. A port that it gave out and took back could be such a
	// connection's by the time a process listens on it.
	firstPort = 10_000
	ports     = 20_000
	// blockPorts is how many are reserved at once. A cell of the fault matrix
	// takes about thirty.
	blockPorts = 100
	blocks     = ports / blockPorts
	// blockStep spreads the first blocks of programs that run at once.
	blockStep = 37
	// reserveHost is a loopback address that nothing else listens on. Holding a
	// block's first port there keeps other programs from the whole block.
	reserveHost = "127.0.0.2"
)

// addrs gives out addresses.
//
// Several programs of tests run at once. An address that is only looked at for
// being free can be given to a process by one of them while the process of
// another, which has looked as well, is still starting: that one ends with
// "address already in use". So each program reserves blocks that no other one
// takes addresses of, until it ends.
type addrs struct {
	mu sync.Mutex
	// block is the next one to try, tried how many were.
	block, tried int
	// next and end are the ports that are left of the reserved block.
	next, end int
	held      []net.Listener
}

// given is the addresses of this program.
var given = addrs{block: os.Getpid() * blockStep % blocks}

// Addr returns a free loopback address, each one once.
func Addr() (string, error) { return given.get() }

func (ad *addrs) get() (string, error) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	for {
		if ad.next == ad.end {
			if err := ad.reserve(); err != nil {
				return "", err
			}
		}
		addr := fmt.Sprintf("127.0.0.1:%d", ad.next)
		ad.next++
		if free(addr) {
			return addr, nil
		}
	}
}

// free reports whether nothing listens at an address; something outside of the
// tests may. It dials and does not listen: a listener that looks is inherited by
// any process that is being started in that moment, which holds the address until
// it executes its own program, and the process that the address is for ends with
// "address already in use". Excluding starts by syscall.ForkLock is not enough,
// since the os package tries clone once without it when the first process starts:
// 128 of 1,200 programs that listened to look came to an address in use.
func free(addr string) bool {
	co, err := net.Dial("tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	co.Close()
	return false
}

// reserve takes the next block that no other program holds.
func (ad *addrs) reserve() error {
	for ad.tried < blocks {
		first := firstPort + ad.block*blockPorts
		ad.block, ad.tried = (ad.block+1)%blocks, ad.tried+1
		li, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reserveHost, first))
		if err != nil {
			continue // Another program's.
		}
		ad.held = append(ad.held, li)
		ad.next, ad.end = first, first+blockPorts
		return nil
	}
	return eris.New("no free port")
}
