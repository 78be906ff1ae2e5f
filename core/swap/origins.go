package swap

import "chervilreach/core/origin"

// OriginsReported carries the versions of the software that began streams of a service, as a router
// knows. Agents outlive the routers that ask for them.
type OriginsReported struct {
	Service string
	Origins []origin.Origin
	// Versions are versions of the service's software that can have begun other streams.
	Versions []string
}

// Kind implements event.Event.
func (OriginsReported) Kind() string { return "swap-origins" }

// Routine implements event.Routine.
func (OriginsReported) Routine() {}

// OriginAsked asks which version of the software began a stream.
type OriginAsked struct {
	// Number identifies the ask in its OriginAnswered.
	Number  uint64
	Service string
	Stream  origin.Stream
}

// Kind implements event.Event.
func (OriginAsked) Kind() string { return "swap-origin-asked" }

// Routine implements event.Routine.
func (OriginAsked) Routine() {}

// OriginAnswered is the answer to an OriginAsked.
type OriginAnswered struct {
	Number uint64
	// Software is empty if the agent does not know the stream.
	Software string
	// Versions are the versions of the service's software that can have begun a stream, as far as the
	// agent knows, sorted.
	Versions []string
}

// Kind implements event.Effect.
func (OriginAnswered) Kind() string { return "swap-origin" }

// Routine implements event.Routine.
func (OriginAnswered) Routine() {}

// handleOriginsReported remembers the origins that a router has told.
func (s *State) handleOriginsReported(ev OriginsReported) {
	for _, o := range ev.Origins {
		s.origins.Note(s.now, ev.Service, o)
	}
	for _, v := range ev.Versions {
		s.origins.NoteVersion(s.now, ev.Service, v)
	}
}

// handleOriginAsked answers which version began a stream.
func (s *State) handleOriginAsked(ev OriginAsked) {
	software, _ := s.origins.Software(s.now, ev.Stream)
	s.emit(OriginAnswered{Number: ev.Number, Software: software, Versions: s.origins.Versions(s.now, ev.Service)})
}
