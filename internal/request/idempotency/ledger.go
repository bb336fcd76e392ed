package idempotency

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// maxToleratedLosses is the number of members that can disappear between two
// rounds of announcements without the loss of a record.
const maxToleratedLosses = 1

// Ledger holds the records of one host and its view of the membership. It is safe
// for concurrent use. Callers pass in the current time.
type Ledger struct {
	self    Member
	window  time.Duration
	records *table

	// mu is read-locked while a record is added under the current member set,
	// so that a change of the set includes the record in its announcements.
	mu          sync.RWMutex
	members     []Member
	membersHash uint64
	// generation distinguishes periods with the same member set; maxGeneration
	// is the highest generation seen in an announcement.
	generation, maxGeneration uint64
	// announced are the members that have announced for the current set and
	// generation; the round is complete once all other members have.
	announced     map[Member]bool
	roundComplete bool
	// observed are the members of all sets since the last complete round.
	observed map[Member]bool
	// historyLostUntil is the end of the period in which a key without a
	// record may have run.
	historyLostUntil time.Time
	// cold is set until a host with history has announced; it stays set if
	// there is no such host.
	cold bool
	// hadPeers is set once there has been another member. From then on, a host
	// that is the only member left serves no keys: there would be no second
	// copy, and the other members may be alive but unreachable.
	hadPeers bool
}

// NewLedger returns an empty ledger for a process that starts at now and retains
// records for window. Unless fresh is set, earlier processes may have run
// requests whose records are lost.
func NewLedger(self Member, now time.Time, window time.Duration, fresh bool) *Ledger {
	l := &Ledger{
		self: self, window: window, records: newTable(),
		announced: map[Member]bool{}, observed: map[Member]bool{}, cold: !fresh,
	}
	if l.cold {
		l.historyLostUntil = now.Add(l.window)
	}
	return l
}

// Self returns this host's member.
func (l *Ledger) Self() Member { return l.self }

// Size returns the number of records.
func (l *Ledger) Size() int { return l.records.size() }

// Expire deletes records that began more than the retention window before now.
func (l *Ledger) Expire(now time.Time) { l.records.expire(now.Add(-l.window)) }

// SetMembers makes members, which include this one, the current set. It reports
// whether the set changed; if so, the caller sends Announcements.
func (l *Ledger) SetMembers(members []Member, now time.Time) bool {
	sorted := slices.Sorted(slices.Values(members))
	hash := hashMembers(sorted)
	l.mu.Lock()
	defer l.mu.Unlock()
	if hash == l.membersHash {
		return false
	}
	for _, m := range l.members {
		l.observed[m] = true
	}
	for _, m := range sorted {
		l.observed[m] = true
	}
	l.members, l.membersHash = sorted, hash
	l.hadPeers = l.hadPeers || len(sorted) > 1
	l.startRound(max(l.generation, l.maxGeneration) + 1)
	l.completeRound(now)
	return true
}

// startRound begins the round of announcements for generation. The caller holds
// mu.
func (l *Ledger) startRound(generation uint64) {
	l.generation = generation
	l.announced = map[Member]bool{}
	l.roundComplete = false
}

// Announcement transfers one member's records and view to another member after a
// change of the member set.
type Announcement struct {
	From Member
	// Set and Generation identify the member set of the announcement.
	Set, Generation uint64
	Records         []Record
	// Now is the time of sending by the sender's clock, as is Begun of Records.
	Now time.Time
	// Observed are the members that From saw since its last complete round.
	Observed []Member
	// Loss is the remaining time in which a key without a record may have run.
	Loss time.Duration
	// Warm is set when From has history.
	Warm bool
	// Leaving is set when From stops and hands over its records, so that its
	// departure loses none.
	Leaving bool
}

// Announcements returns the announcement for each other member of the current
// set.
func (l *Ledger) Announcements(now time.Time) map[Member]*Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announcements(l.members, now)
}

// Handover returns the announcement for each other member that transfers this
// host's records before it stops.
func (l *Ledger) Handover(now time.Time) map[Member]*Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(l.members), func(m Member) bool { return m == l.self })
	all := l.announcements(others, now)
	for _, a := range all {
		a.Leaving = true
	}
	return all
}

// announcements builds the announcements for members. Each record goes to its
// key's home, and also to the second in rank unless the home and the receiver are
// two different members. The caller holds mu.
func (l *Ledger) announcements(members []Member, now time.Time) map[Member]*Announcement {
	all := map[Member]*Announcement{}
	for _, m := range members {
		if m == l.self {
			continue
		}
		all[m] = &Announcement{
			From: l.self, Set: l.membersHash, Generation: l.generation, Now: now, Observed: slices.Collect(maps.Keys(l.observed)),
			Loss: max(l.historyLostUntil.Sub(now), 0), Warm: !l.cold || !now.Before(l.historyLostUntil),
		}
	}
	add := func(m Member, r Record) {
		if a := all[m]; a != nil {
			a.Records = append(a.Records, r)
		}
	}
	for _, r := range l.records.all() {
		first, second := rank(members, r.Key)
		add(first, r)
		if first == r.Receiver || !slices.Contains(members, r.Receiver) {
			add(second, r)
		}
	}
	return all
}

// Hear applies an announcement of another member. It returns false if the
// announcement is for another set than the current one or for an older
// generation; the sender then announces again later. Its records are merged in
// any case.
func (l *Ledger) Hear(a *Announcement, now time.Time) bool {
	for i := range a.Records {
		a.Records[i].Begun = now.Add(a.Records[i].Begun.Sub(a.Now))
	}
	l.records.merge(a.Records)
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Leaving {
		delete(l.observed, a.From)
		return true
	}
	l.maxGeneration = max(l.maxGeneration, a.Generation)
	if a.Set != l.membersHash || a.Generation < l.generation {
		return false
	}
	if a.Generation > l.generation {
		l.startRound(a.Generation)
	}
	for _, m := range a.Observed {
		l.observed[m] = true
	}
	if a.Warm && l.cold {
		l.cold = false
		l.historyLostUntil = time.Time{}
	}
	if until := now.Add(a.Loss); a.Warm && a.Loss > 0 && until.After(l.historyLostUntil) {
		l.historyLostUntil = until
	}
	l.announced[a.From] = true
	l.completeRound(now)
	return true
}

// completeRound completes the round if all other members have announced. If more
// members disappeared than maxToleratedLosses, records may be lost. The caller
// holds mu.
func (l *Ledger) completeRound(now time.Time) {
	if l.roundComplete || !slices.Contains(l.members, l.self) {
		return
	}
	for _, m := range l.members {
		if m != l.self && !l.announced[m] {
			return
		}
	}
	vanished := 0
	for m := range l.observed {
		if !slices.Contains(l.members, m) {
			vanished++
		}
	}
	if vanished > maxToleratedLosses {
		l.historyLostUntil = now.Add(l.window)
	}
	l.observed = map[Member]bool{}
	for _, m := range l.members {
		l.observed[m] = true
	}
	l.roundComplete = true
}

// verdictFor returns the verdict on a repeat, received by receiver, of a request
// that has a record. If another member asks again about a request that it received
// itself, it has no record of its own, so it has not run the request.
func (l *Ledger) verdictFor(r *Record, receiver Member) Verdict {
	switch {
	case r.State == Done:
		return Replay
	case r.State == Running && r.Receiver == receiver && receiver != l.self:
		return Run
	case r.State == InDoubt || !slices.Contains(l.members, r.Receiver):
		return OutcomeUnknown
	}
	return Wait
}

// BeginLocal records a request that this host received. If the verdict is Run,
// keeper is the member that must record the request too before it runs, by means
// of req; keeper is empty if there is no other member.
func (l *Ledger) BeginLocal(k Key, fingerprint uint64, now time.Time) (v Verdict, r Record, keeper Member, req KeepRequest) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	req = KeepRequest{Key: k, Print: fingerprint, From: l.self, Set: l.membersHash, Generation: l.generation}
	first, second := rank(l.members, k)
	keeper = first
	if first == l.self {
		keeper = second
	}
	noBackup := second == "" && l.hadPeers
	if first == "" || noBackup || first == l.self && !l.roundComplete {
		return NotServing, r, keeper, req
	}
	mayHaveRun := first == l.self && now.Before(l.historyLostUntil)
	v, r = l.begin(Record{Key: k, Print: fingerprint, State: Running, Receiver: l.self, Begun: now}, mayHaveRun)
	return v, r, keeper, req
}

// KeepRequest asks the keeper of a key to record a request.
type KeepRequest struct {
	Key   Key
	Print uint64
	From  Member
	// Set and Generation identify the member set by which From chose the keeper.
	Set, Generation uint64
}

// Keep records a request that another member received.
func (l *Ledger) Keep(req KeepRequest, now time.Time) (Verdict, Record) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	first, second := rank(l.members, req.Key)
	isHome := first == l.self && l.roundComplete
	isBackup := first == req.From && second == l.self
	if req.Set != l.membersHash || req.Generation != l.generation || !isHome && !isBackup {
		return NotServing, Record{}
	}
	mayHaveRun := now.Before(l.historyLostUntil)
	return l.begin(Record{Key: req.Key, Print: req.Print, State: Running, Receiver: req.From, Begun: now}, mayHaveRun)
}

// begin adds r and returns Run. If mayHaveRun is set and the key has no record, it
// returns OutcomeUnknown and adds nothing.
func (l *Ledger) begin(r Record, mayHaveRun bool) (Verdict, Record) {
	v, record := l.records.begin(r, func(old *Record) Verdict { return l.verdictFor(old, r.Receiver) })
	if v == Run && mayHaveRun {
		l.records.cancel(r.Key, r.Receiver)
		return OutcomeUnknown, record
	}
	return v, record
}

// Finish sets the final state of a request that this host received and returns
// the other members that hold a record of it.
func (l *Ledger) Finish(k Key, s State, a *Answer) []Member {
	l.records.finish(k, l.self, s, a)
	return l.holders(k)
}

// holders returns the other members that hold the record of k in the current set.
func (l *Ledger) holders(k Key) []Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	first, second := rank(l.members, k)
	if first != l.self {
		return []Member{first}
	}
	if second == "" {
		return nil
	}
	return []Member{second}
}

// Learn merges the final record of a request, sent by its receiver.
func (l *Ledger) Learn(r Record, now time.Time) {
	r.Begun = now
	l.records.merge([]Record{r})
}

// Cancel deletes the record of a request that receiver did not run.
func (l *Ledger) Cancel(k Key, receiver Member) { l.records.cancel(k, receiver) }
