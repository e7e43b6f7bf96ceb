package replica

import (
	"slices"

	"skylarkstand/core"
)

const (
	// documentSize is the size in bytes from which a value is a document, which is replaced as a whole.
	// Only its newest version is kept: a few changes of a large one would otherwise displace all others.
	documentSize = 4 << 10
	// maxLoggedChanges and maxLoggedBytes bound the log of past changes. An entry that
	// lags behind by more reads the store itself.
	maxLoggedChanges = 1024
	maxLoggedBytes   = 256 << 10
)

// changeLog holds the most recent changes, ordered by revision.
type changeLog struct {
	// base is the revision after which the log is complete.
	base    core.Revision
	changes []core.Change
	bytes   int
}

func (cl *changeLog) reset(base core.Revision) { *cl = changeLog{base: base} }

func (cl *changeLog) add(ch core.Change) {
	cl.dropReplaced(ch.Key)
	cl.changes = append(cl.changes, ch)
	cl.bytes += len(ch.Value)
	drop := 0
	for len(cl.changes)-drop > maxLoggedChanges || cl.bytes > maxLoggedBytes {
		cl.base = cl.changes[drop].Revision
		// Changes of one write share a revision and are dropped together.
		for drop < len(cl.changes) && cl.changes[drop].Revision == cl.base {
			cl.bytes -= len(cl.changes[drop].Value)
			drop++
		}
	}
	if drop > 0 {
		cl.changes = slices.Clone(cl.changes[drop:])
	}
}

// dropReplaced drops the earlier versions of a document.
func (cl *changeLog) dropReplaced(key string) {
	cl.changes = slices.DeleteFunc(cl.changes, func(old core.Change) bool {
		if old.Key != key || len(old.Value) < documentSize {
			return false
		}
		cl.bytes -= len(old.Value)
		return true
	})
}

// since returns the changes after a revision, or false if some of them were dropped from
// the log.
func (cl *changeLog) since(after core.Revision) ([]core.Change, bool) {
	if after < cl.base {
		return nil, false
	}
	from := slices.IndexFunc(cl.changes, func(ch core.Change) bool { return ch.Revision > after })
	if from < 0 {
		return nil, true
	}
	return slices.Clone(cl.changes[from:]), true
}
