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
	// Ports are below the kernel's range of ephemeral ports. A port from that range that
	// was allocated and released could belong to an outgoing connection by the time a
	// process listens on it.
	firstPort = 10_000
	ports     = 20_000
	// blockPorts is the number of ports reserved at once. A cell of the fault matrix
	// takes about thirty.
	blockPorts = 100
	blocks     = ports / blockPorts
	// blockStep spreads the first blocks of test programs that run concurrently.
	blockStep = 37
	// reserveHost is a loopback address that nothing else listens on. A listener on a
	// block's first port there keeps other test programs from the whole block.
	reserveHost = "127.0.0.2"
)

// addrs allocates addresses.
//
// Several test programs run concurrently. If they only checked that an address is free,
// two of them could allocate the same one while the first one's process is still
// starting, and one process would exit with "address already in use". So each program
// reserves blocks of ports, which no other program uses until it exits.
type addrs struct {
	mu sync.Mutex
	// block is the next block to try, tried the number of blocks tried so far.
	block, tried int
	// next and end delimit the unused ports of the reserved block.
	next, end int
	// held are the listeners that reserve blocks.
	held []net.Listener
}

// allocator allocates the addresses of this program.
var allocator = addrs{block: os.Getpid() * blockStep % blocks}

// FreeAddr returns a free loopback address. It never returns the same address twice.
func FreeAddr() (string, error) { return allocator.get() }

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
		if isFree(addr) {
			return addr, nil
		}
	}
}

// isFree reports whether nothing listens on an address; a program other than the tests may.
// It dials instead of listening: a process that is being started at that moment inherits
// the listener and holds the address until it executes its own program, so that the
// process for which the address is allocated exits with "address already in use".
// Excluding starts by syscall.ForkLock is not enough, since the os package tries clone
// once without the lock when the first process starts: 128 of 1,200 programs that checked
// by listening met an address in use.
func isFree(addr string) bool {
	co, err := net.Dial("tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	co.Close()
	return false
}

// reserve reserves the next block that no other program holds.
func (ad *addrs) reserve() error {
	for ad.tried < blocks {
		first := firstPort + ad.block*blockPorts
		ad.block, ad.tried = (ad.block+1)%blocks, ad.tried+1
		li, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reserveHost, first))
		if err != nil {
			continue // Another program holds the block.
		}
		ad.held = append(ad.held, li)
		ad.next, ad.end = first, first+blockPorts
		return nil
	}
	return eris.Errorf("no free loopback port: all %d blocks of ports are reserved or used up", blocks)
}
