package soak

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/platform"
)

const (
	runsAtOnce    = 8
	hostsOfARun   = 100
	runnersOfARun = 12
)

// Guards against runs on one machine that take each other's ports.
func TestRunsAtOnceHaveDifferentPorts(t *testing.T) {
	users := make(map[string]string)
	for run := range runsAtOnce {
		d, err := newDeployment(t.TempDir(), hostsOfARun, runnersOfARun, 1, NewChecker())
		must.NoError(t, err)
		t.Cleanup(func() { must.NoError(t, d.close()) })
		for user, address := range listenAddresses(t, d) {
			must.Eq(t, "", users[address], must.Sprintf("%s of run %d has %s, too", user, run, address))
			users[address] = fmt.Sprintf("%s of run %d", user, run)
		}
	}
}

// Guards against a second run that gets the address of a run that goes on.
func TestAddressIsReservedUntilItIsReleased(t *testing.T) {
	address, err := reserveAddress()
	must.NoError(t, err)
	_, err = reserve(address.ip)
	must.ErrorIs(t, err, syscall.EADDRINUSE)
	must.NoError(t, address.release())
	again, err := reserve(address.ip)
	must.NoError(t, err)
	must.NoError(t, again.release())
}

// listenAddresses returns the addresses at which a deployment's parts are called.
func listenAddresses(t *testing.T, d *deployment) map[string]string {
	addresses := map[string]string{"store": d.storeAddress}
	for _, r := range d.runners {
		addresses["proxy of "+r.id] = r.proxy.Addr()
	}
	for _, h := range d.hosts {
		text, err := os.ReadFile(h.settingsPath)
		must.NoError(t, err)
		s, err := platform.ParseSettings(text)
		must.NoError(t, err)
		addresses["store proxy of "+h.name] = s.StoreAddress
		addresses["API of "+h.name] = s.APIAddress
		addresses["readiness of "+h.name] = s.ReadinessAddress
		addresses["peer port of "+h.name] = fmt.Sprintf("%s:%d", s.Address, s.PeerPort)
	}
	return addresses
}
