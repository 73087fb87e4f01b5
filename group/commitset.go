package group

import (
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// commitSet holds the positions of the writes whose outcome is awaited, in
// ascending order. It may contain duplicates.
type commitSet struct {
	positions []fleet.Position
}

func (s *commitSet) add(p fleet.Position) {
	i, _ := slices.BinarySearchFunc(s.positions, p, fleet.Position.Compare)
	s.positions = slices.Insert(s.positions, i, p)
}

// lowest returns the lowest position that satisfies a condition.
func (s *commitSet) lowest(satisfies func(fleet.Position) bool) (fleet.Position, bool) {
	for _, p := range s.positions {
		if satisfies(p) {
			return p, true
		}
	}
	return fleet.Position{}, false
}

func (s *commitSet) remove(p fleet.Position) {
	if i, found := slices.BinarySearchFunc(s.positions, p, fleet.Position.Compare); found {
		s.positions = slices.Delete(s.positions, i, i+1)
	}
}
