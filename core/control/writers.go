package control

// WriterRetention is the number of offsets without a record after which a
// writer is forgotten. Each process start has its own writer id, so the table
// would grow without bound. A record that arrives a second time after that
// many offsets still meets the checks of its base version or term.
const WriterRetention = 100_000

// writerSweep is the number of offsets between two searches for writers to
// forget, so that the search costs little per record. A writer is forgotten at
// the first search after its retention.
const writerSweep = 1024

// writerMark is the last record seen from a writer.
type writerMark struct {
	seq    uint64
	offset uint64
}

// advance moves the state to the record at an offset. Which writers are
// forgotten depends on offsets alone, so that all replicas agree.
func (s *State) advance(offset uint64) {
	if (offset+1)/writerSweep != s.next/writerSweep {
		for w, mark := range s.writers {
			if offset > mark.offset+WriterRetention {
				delete(s.writers, w)
			}
		}
	}
	s.next = offset + 1
}

// repeated notes the record of a writer and tells whether its sequence number
// was seen before.
func (s *State) repeated(offset uint64, rec Record) bool {
	mark, seen := s.writers[rec.Writer]
	if seen && rec.Seq <= mark.seq {
		s.writers[rec.Writer] = writerMark{mark.seq, offset}
		return true
	}
	s.writers[rec.Writer] = writerMark{rec.Seq, offset}
	return false
}

// WriterSeq returns the highest sequence number seen from a writer, 0 for a
// writer that is not known or was forgotten. A writer that does not know
// whether its append took effect reads until this reaches the number of that
// append.
func (s *State) WriterSeq(writer string) uint64 { return s.writers[writer].seq }
