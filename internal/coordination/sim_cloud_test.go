package coordination

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

type simCloud struct{ w *world }

func (c simCloud) call() error {
	time.Sleep(time.Duration(20+c.w.intn(80)) * time.Millisecond)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.w.cloudUnavailable || c.w.random.IntN(50) == 0 {
		return errors.New("cloud: simulated failure")
	}
	return nil
}

// refuse records a request that the cloud refuses as malformed.
func (c simCloud) refuse(what string, count int) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.violationf("too_large: %d %s", count, what)
}

func (c simCloud) Catalog(context.Context) (protocol.Catalog, error) {
	return protocol.Catalog{MachineTypes: simMachineTypes}, c.call()
}

func (c simCloud) RequestMachines(_ context.Context, r protocol.MachineRequest) ([]string, error) {
	if r.Count < 1 || r.Count > protocol.MaxMachinesPerRequest {
		c.refuse("machines to rent", r.Count)
	}
	if err := c.call(); err != nil {
		return nil, err
	}
	w := c.w
	if late := w.cloudDelay(); late > 0 {
		w.spawn(func() {
			sleep(w.ctx, late)
			c.createMachines(r)
		})
		return nil, errors.New("no answer")
	}
	return c.createMachines(r)
}

// createMachines executes a scale-out request, once per request id.
func (c simCloud) createMachines(r protocol.MachineRequest) ([]string, error) {
	w := c.w
	w.mu.Lock()
	if got, ok := w.machinesByRequest[r.RequestID]; ok {
		w.mu.Unlock()
		return got, nil
	}
	var names []string
	for range r.Count {
		if len(w.workers) >= w.maxMachines {
			break
		}
		w.lastMachineNumber++
		m := &simWorker{w: w, id: fmt.Sprintf("host-%06d", w.lastMachineNumber), request: r, createdAt: time.Now(), tasks: map[string]*simTask{}}
		for _, b := range simMachineTypes {
			if b.Name == r.MachineType {
				m.machineType = b
			}
		}
		w.workers[m.id] = m
		names = append(names, m.id)
		boot := time.Duration(float64(time.Second) * m.machineType.BootSeconds * (0.6 + w.random.Float64()))
		if w.quickBoots {
			boot = time.Duration(w.random.IntN(2000)) * time.Millisecond
		}
		if w.random.IntN(12) > 0 { // some machines never come up
			m.bootedAt = time.Now().Add(boot)
			w.wg.Add(1)
			go func() { defer w.wg.Done(); m.run(boot) }()
		}
	}
	if len(names) == 0 {
		w.mu.Unlock()
		return nil, ErrNoCapacity
	}
	w.machinesByRequest[r.RequestID] = names
	lost := w.random.IntN(10) == 0
	hook := w.afterFirstRequest
	w.afterFirstRequest = nil
	w.mu.Unlock()
	if hook != nil {
		hook()
		lost = true
	}
	if lost {
		return nil, errors.New("no answer")
	}
	return names, nil
}

func (c simCloud) Release(_ context.Context, names []string) error {
	if len(names) > protocol.MaxMachinesPerRelease {
		c.refuse("machines to release", len(names))
	}
	if err := c.call(); err != nil {
		return err
	}
	if late := c.w.cloudDelay(); late > 0 {
		c.w.mu.Lock()
		for _, id := range names {
			c.w.releasePending[id] = true
		}
		c.w.mu.Unlock()
		c.w.spawn(func() {
			sleep(c.w.ctx, late)
			c.removeMachines(names)
		})
		return errors.New("no answer")
	}
	c.removeMachines(names)
	return nil
}

// removeMachines removes machines and the tasks on them.
func (c simCloud) removeMachines(names []string) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, id := range names {
		if m := c.w.workers[id]; m != nil {
			m.die()
			delete(c.w.workers, id)
		}
	}
}

// maxCloudDelay is the maximum delay of a late call to the cloud.
const maxCloudDelay = 40 * time.Second

// cloudDelay returns the delay with which a call to the cloud is executed; 0: none.
func (w *world) cloudDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.Float64() >= w.lateCloudRate {
		return 0
	}
	w.recordEventLocked("call to the cloud carried out late")
	return minCommandDelay + time.Duration(w.random.Int64N(int64(maxCloudDelay-minCommandDelay)))
}

func (c simCloud) List(_ context.Context, since string) (protocol.MachineList, error) {
	if err := c.call(); err != nil {
		return protocol.MachineList{}, err
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	var list protocol.MachineList
	for id, m := range c.w.workers {
		if id <= since || time.Since(m.createdAt) < 2*time.Second {
			continue
		}
		status := "starting"
		if m.dead {
			status = "failed"
		} else if !m.bootedAt.IsZero() && time.Now().After(m.bootedAt) {
			status = "running"
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, MachineType: m.request.MachineType, Zone: m.request.Zone, Spot: m.request.Spot,
			Status: status, AgeSeconds: time.Since(m.createdAt).Seconds()})
	}
	slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list, nil
}
