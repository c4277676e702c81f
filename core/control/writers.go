package control

// WriterRetention is the number of offsets without a record of a writer after which
// the writer is removed from the State. Without removal the State would grow with
// each process start, because each has its own writer id. A later duplicate is not
// recognized by its sequence number; only its base version or term is checked.
const WriterRetention = 100_000

// writerSweepInterval is the number of offsets between two sweeps, which remove the
// writers whose retention has passed. A sweep at each record would cost too much.
const writerSweepInterval = 1024

// writerState holds the highest sequence number of a writer and the offset of its
// last record.
type writerState struct {
	seq    uint64
	offset uint64
}

// advance moves the state past the record at an offset and sweeps the writers once per
// writerSweepInterval. The result depends only on offsets, so that all replicas agree.
func (s *State) advance(offset uint64) {
	if (offset+1)/writerSweepInterval != s.next/writerSweepInterval {
		for w, state := range s.writers {
			if offset > state.offset+WriterRetention {
				delete(s.writers, w)
			}
		}
	}
	s.next = offset + 1
}

// recordWriter updates the writer of a record, and reports whether the record is a
// duplicate by its sequence number.
func (s *State) recordWriter(offset uint64, rec Record) bool {
	state, seen := s.writers[rec.Writer]
	if seen && rec.Seq <= state.seq {
		s.writers[rec.Writer] = writerState{state.seq, offset}
		return true
	}
	s.writers[rec.Writer] = writerState{rec.Seq, offset}
	return false
}

// WriterSeq returns the highest sequence number applied from a writer, or 0 for a
// writer that is unknown or was removed after WriterRetention. A writer that does
// not know whether its append succeeded can read the log until WriterSeq reaches
// the sequence number of that append.
func (s *State) WriterSeq(writer string) uint64 { return s.writers[writer].seq }
