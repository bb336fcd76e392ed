package owner

import (
	"fmt"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

// planServices returns the records that add missing replicas of the declared
// services and end surplus ones. The caller is inside follower.View.
func (o *Owner) planServices(desired Desired) []record.Record {
	if desired.Document == nil || desired.ConfigVersion == 0 {
		return nil
	}
	var records []record.Record
	desiredJobs := map[platform.JobID]bool{}
	for i := range desired.Document.Services {
		s := &desired.Document.Services[i]
		for _, index := range desired.Replicas[s.Name] {
			job := ReplicaJob(s, index)
			desiredJobs[job.ID] = true
			if r := o.planReplica(job); r != nil {
				records = append(records, *r)
			}
		}
	}
	return append(records, o.planSurplusReplicas(desiredJobs)...)
}

// planReplica returns the record that makes a desired replica run, or nil if none
// is needed.
func (o *Owner) planReplica(job record.Job) *record.Record {
	if o.table.Job(job.ID) == nil {
		return &record.Record{Job: &job}
	}
	t := o.table.Task(task.ID(job.ID, 0))
	if t == nil || t.Cancelled || t.State.Final() {
		return &record.Record{Rescale: &record.Rescale{Job: job.ID, Count: 1}}
	}
	return nil
}

// planSurplusReplicas returns the records that end the replicas that are not
// desired.
func (o *Owner) planSurplusReplicas(desiredJobs map[platform.JobID]bool) []record.Record {
	var records []record.Record
	check := func(t *task.Task) bool {
		job := t.Spec()
		if job.Service != "" && !t.Cancelled && !desiredJobs[job.ID] {
			records = append(records, record.Record{Rescale: &record.Rescale{Job: job.ID}})
		}
		return true
	}
	o.table.EachQueued(true, check)
	for _, s := range []record.State{record.Assigned, record.Running, record.Checkpointing} {
		o.table.EachInState(s, check)
	}
	return records
}

// ReplicaJob returns the job that represents one replica of a service.
func ReplicaJob(s *declaration.Service, index uint32) record.Job {
	return record.Job{
		ID:   platform.JobID(fmt.Sprintf("svc:%s#%d", s.Name, index)),
		Team: s.Team, Class: s.Class, Service: s.Name, Count: 1,
		Size: s.Size.Resources(), Urgent: true,
	}
}
