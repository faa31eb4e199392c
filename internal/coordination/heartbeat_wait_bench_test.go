package coordination

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// zoneMachines is the number of machines of a zone that a partition separates from their
// holder at the same time.
const zoneMachines = 2000

// BenchmarkWaitingHeartbeatsOfZone measures the cost for a proxy to let a heartbeat of
// each machine of a zone wait, and to answer all of them when their acknowledgement
// arrives.
func BenchmarkWaitingHeartbeatsOfZone(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		n := newProxyNode(b)
		leases, names := []storage.MachineLease{}, []string{}
		for i := range zoneMachines {
			name := fmt.Sprintf("host-%06d", i)
			names = append(names, name)
			leases = append(leases, storage.MachineLease{Machine: name, MachineType: "small", Zone: "b", FencingToken: 2})
		}
		applyRecord(b, n, storage.GrantKey(0), storage.Grant{Machines: leases}, 14)
		applyRecord(b, n, storage.DelegationKey(testDelegation), storage.Delegation{Session: 5, FencingToken: 1, Machines: names}, 20)
		n.refreshRecords()
		b.StartTimer()
		var waiting sync.WaitGroup
		for _, name := range names {
			waiting.Go(func() {
				report := &protocol.Heartbeat{Machine: name, Address: "x:1", MachineType: "small", Zone: "b", Session: 1, Sequence: 1, FencingToken: 2}
				if answer := n.Heartbeat(report); answer.Status != http.StatusOK {
					b.Errorf("%+v", answer)
				}
			})
		}
		for waitingCount := 0; waitingCount < zoneMachines; {
			time.Sleep(time.Millisecond)
			n.mu.Lock()
			waitingCount = n.heartbeatProxy.waitingHeartbeats
			n.mu.Unlock()
		}
		applyRecord(b, n, storage.DelegationAckKey(testDelegation), storage.DelegationAck{DelegationRevision: 20, Session: 4, FencingToken: 1, Machines: names}, 21)
		n.refreshRecords()
		waiting.Wait()
	}
}
