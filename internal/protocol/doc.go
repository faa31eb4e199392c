// Package protocol defines the messages that controllers exchange with users,
// workers, the cloud and the key-value store, and validates incoming messages.
//
// The protocol has its own vocabulary, which is translated only in this package:
// struct tags and constant values hold the protocol's names, and Go identifiers use
// the usual terms of the field. No other package needs to know the names in the left
// column.
//
//	protocol              Go name                        term                            used by
//
//	users (job.go)
//	jobclass              Job.Class                      job class                       scheduler, latency
//	owner                 Job.Team                       team that a quota applies to    quota, leader
//	shape                 Job.Type                       job type                        scheduler, jobapi
//	  array               JobTypeArray                   job array, independent tasks
//	  group               JobTypeGang                    gang scheduling
//	  standing            JobTypeService                 service with replicas
//	urgency               Job.Priority, Priority         priority                        scheduler
//	parts                 Job.Tasks                      number of tasks                 reconcile, scheduler
//	cards                 Job.GPUs, MachineType.GPUs     GPUs                            placement, quota
//	bundle, pull_gb       Job.Image, Job.ImageGB         container image and its size    placement
//	breeds                Job.MachineTypes               allowed machine types           scheduler, provisioner
//	yard                  Zone                           zone                            all
//	loaners               Spot                           spot (preemptible) machines     provisioner, scheduler
//	guess_s               Job.EstimatedSeconds           estimated run time              scheduler
//	save_every_s          Job.CheckpointIntervalSeconds  checkpoint interval             scheduler
//	save_takes_s          Job.CheckpointSeconds          duration of a checkpoint        scheduler
//	due_s                 Job.DeadlineSeconds            deadline after submission       scheduler
//	waits_on              Job.DependsOn                  dependencies                    jobapi
//	withdraw, withdrawn   Cancelled                      cancel, cancelled               jobapi
//
//	workers (worker.go)
//	checkin               Heartbeat                      heartbeat                       reconcile, failuredetector
//	reed                  Heartbeat.Machine              machine                         all
//	stint                 Session                        agent session (or epoch)        reconcile, dispatch
//	tally                 Heartbeat.Sequence             sequence within a session       reconcile
//	baton                 FencingToken                   fencing token                   leader, clusterstate
//	warning_s             Heartbeat.InterruptionSeconds  spot interruption notice        scheduler
//	part                  TaskStatus.Task, Command.Task  task, named job/index           reconcile
//	try                   Attempt                        task attempt                    reconcile
//	saving                Checkpointing                  saving a checkpoint to stop     reconcile
//	ended, cause          Exited, TaskStatus.Cause       exited, exit cause              reconcile
//	halted, kept          CauseStopped, Checkpointed     stopped, progress was saved     reconcile
//	orders                Commands                       commands                        dispatch, reconcile
//	halt                  VerbStop                       stop, kill                      reconcile
//	mercy_s               Command.GracePeriodSeconds     grace period                    reconcile
//	answer_to             Redirect.Controller            controller to report to         reconcile
//
//	cloud (cloud.go)
//	breed, sku            MachineType                    machine type                    provisioner
//	reeds                 Machines                       machines                        provisioner
//	local_gb              MachineType.ImageCacheGB       image cache                     placement
//	low_price             MachineType.SpotHourlyRate     spot price                      provisioner
//	ready_s               MachineType.BootSeconds        boot time                       provisioner
//	ask                   MachineRequest.RequestID       idempotency key                 provisioner
//
//	key-value store (store.go)
//	path, data            KeyValue.Key, KeyValue.Value   key, value                      storage
//	stamp                 Revision (of a key)            modification revision           storage
//	ledger                Revision (of a response)       store revision                  storage
//	multi                 Txn                            transaction                     storage
//	when                  Txn.Preconditions              preconditions                   storage
//	hold, grants          LeaseID, LeaseGrant            lease                           storage, session
//	life_ms               LeaseGrant.TTLMilliseconds     time to live of a lease         storage, session
//	follow, log           WatchResponse, Changes         watch, change log               storage
//
// Messages between controllers are not part of this protocol; see packages leader
// and transport.
//
// Durations are in seconds and sizes in GB, as on the wire, unless a name specifies
// otherwise.
package protocol
