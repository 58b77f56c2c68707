package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	reservationPort        = 20001 // of each run's address; below the ports that the system assigns
	maxReservationAttempts = 100
)

// errNoAddress means that every address that was tried is another run's.
var errNoAddress = errors.New("soak: no free loopback address")

// runAddress is a loopback address that one run has for itself: its listener at
// reservationPort keeps other runs away until it is closed.
type runAddress struct {
	ip          string
	reservation net.Listener
}

// reserveAddress reserves a random loopback address.
func reserveAddress() (*runAddress, error) {
	for range maxReservationAttempts {
		address, err := reserve(randomLoopbackIP())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		return address, err
	}
	return nil, errNoAddress
}

// randomLoopbackIP returns an address of 127.64.0.0/10, which doesn't hold 127.0.0.1.
func randomLoopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
}

// reserve reserves an address; syscall.EADDRINUSE: another run has it.
func reserve(ip string) (*runAddress, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, reservationPort))
	if err != nil {
		return nil, errors.Wrapf(err, "reserving %s", ip)
	}
	return &runAddress{ip: ip, reservation: l}, nil
}

// anyPort returns the address with the port 0, by which the system assigns one.
func (a *runAddress) anyPort() string { return net.JoinHostPort(a.ip, "0") }

// freePorts returns n ports of the address that nothing listens on. They stay free for
// the caller if it has no port assigned by the system afterwards, since no other run
// listens on the address.
func (a *runAddress) freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", a.anyPort())
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (a *runAddress) release() error { return a.reservation.Close() }
