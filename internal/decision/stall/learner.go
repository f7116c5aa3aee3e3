package stall

import "time"

const (
	// seeksPerCall bounds the families whose period is sought in one call of Learn, each
	// of which takes up to a millisecond of processor time.
	seeksPerCall = 2
	// maxTargets bounds the targets that are known.
	maxTargets = 16384
)

// Learner learns the periods of families of targets and the phase of each target. It is
// not safe for concurrent use.
type Learner struct {
	families map[string]*family
	// familyOf has the family of each known target.
	familyOf map[string]string
	// changed has the targets whose prediction has changed since the last TakeChanged.
	changed map[string]bool
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{families: map[string]*family{}, familyOf: map[string]string{}, changed: map[string]bool{}}
}

// Add adds the end of a pause of a target.
func (l *Learner) Add(name, target string, end End, now time.Time) {
	if f := l.of(name, target); f != nil && f.add(target, end, now) {
		l.changed[target] = true
	}
}

// of returns the family of a target, nil if no more targets can be known. A target that
// has another family than before is forgotten there.
func (l *Learner) of(name, target string) *family {
	known, ok := l.familyOf[target]
	if ok && known != name {
		l.Forget(target)
		ok = false
	}
	if !ok && len(l.familyOf) >= maxTargets {
		return nil
	}
	l.familyOf[target] = name
	f, ok := l.families[name]
	if !ok {
		f = newFamily()
		l.families[name] = f
	}
	return f
}

// Miss records that a predicted pause of a target did not occur.
func (l *Learner) Miss(target string) {
	f, ok := l.families[l.familyOf[target]]
	if !ok {
		return
	}
	f.judge(false)
	if t, ok := f.tracks[target]; ok && t.miss() {
		l.changed[target] = true
	}
}

// Forget discards what is known of a target, which has restarted or gone.
func (l *Learner) Forget(target string) {
	name, ok := l.familyOf[target]
	if !ok {
		return
	}
	delete(l.familyOf, target)
	l.changed[target] = true
	if f := l.families[name]; f != nil {
		delete(f.tracks, target)
		if len(f.tracks) == 0 {
			delete(l.families, name)
		}
	}
}

// ForgetPhases discards the phases of all targets, which is necessary after the clock has
// not run for a while. The periods are kept.
func (l *Learner) ForgetPhases() {
	for _, f := range l.families {
		for target, t := range f.tracks {
			*t = track{}
			l.changed[target] = true
		}
	}
}

// Learn seeks periods where enough was observed and drops those that don't fit any more.
// It is called about every second.
func (l *Learner) Learn(now time.Time) []Change {
	var changes []Change
	sought := 0
	for name, f := range l.families {
		if f.drop(now) {
			l.markAll(name)
			changes = append(changes, Change{Family: name})
		}
		if f.due() && sought < seeksPerCall {
			sought++
			if f.seek(now) {
				changes = append(changes, Change{Family: name, Period: f.period, Length: f.length})
			}
		}
		f.tune()
		if f.relearn {
			f.measureLength()
		}
		if f.publish() {
			l.markAll(name)
		}
	}
	return changes
}

// markAll marks the predictions of all targets of a family as changed.
func (l *Learner) markAll(name string) {
	for target, known := range l.familyOf {
		if known == name {
			l.changed[target] = true
		}
	}
}

// TakeChanged returns the predictions that have changed since the last call, by target.
func (l *Learner) TakeChanged() map[string]Pattern {
	if len(l.changed) == 0 {
		return nil
	}
	patterns := make(map[string]Pattern, len(l.changed))
	for target := range l.changed {
		patterns[target] = l.Pattern(target)
	}
	clear(l.changed)
	return patterns
}

// Pattern returns the prediction for a target, zero if there is none.
func (l *Learner) Pattern(target string) Pattern {
	f, ok := l.families[l.familyOf[target]]
	if !ok {
		return Pattern{}
	}
	t, ok := f.tracks[target]
	if !ok {
		return Pattern{}
	}
	return f.pattern(t)
}

// Learnt returns the number of targets whose pauses are predicted at now.
func (l *Learner) Learnt(now time.Time) int {
	n := 0
	for target := range l.familyOf {
		if p := l.Pattern(target); p.inForce(now) {
			n++
		}
	}
	return n
}
