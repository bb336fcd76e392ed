package job

import "github.com/fxamacker/cbor/v2"

// TaskSet is a set of tasks. It is encoded by job, which keeps the records of workers short.
type TaskSet map[TaskRef]bool

// taskNumbers identify a task of a job.
type taskNumbers struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
}

// MarshalCBOR implements cbor.Marshaler.
func (s TaskSet) MarshalCBOR() ([]byte, error) {
	byJob := map[ID][]taskNumbers{}
	for ref := range s {
		byJob[ref.Job] = append(byJob[ref.Job], taskNumbers{Occurrence: ref.Occurrence, Step: ref.Step, Index: ref.Index})
	}
	return cbor.Marshal(byJob)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *TaskSet) UnmarshalCBOR(data []byte) error {
	byJob := map[ID][]taskNumbers{}
	if err := cbor.Unmarshal(data, &byJob); err != nil {
		return err
	}
	*s = TaskSet{}
	for id, tasks := range byJob {
		for _, t := range tasks {
			(*s)[TaskRef{Job: id, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}] = true
		}
	}
	return nil
}
