package standin

import "github.com/nutmegpier/nutmegpier/fleet"

// Promise is the highest term that a server has promised, and the instance that
// it is promised to. A server accepts no log entry and no write of a lower term.
type Promise struct {
	// Holder is the instance that may promote the server in the term.
	Holder fleet.InstanceID
	Term   fleet.Term
}

// Allows reports whether the holder may promote the server in the term.
func (p Promise) Allows(term fleet.Term, holder fleet.InstanceID) bool {
	return p.Term == term && p.Holder == holder
}

// Grant returns the promise after a request for the term, and whether the request
// is granted. A term has only one holder: a repeated request of the holder is
// granted again, a request of another instance or for a lower term is refused.
func (p Promise) Grant(term fleet.Term, holder fleet.InstanceID) (Promise, bool) {
	if term > p.Term {
		return Promise{Holder: holder, Term: term}, true
	}
	return p, p.Allows(term, holder)
}

// Follow returns the promise after the server heard from the primary of the term,
// which the holder promoted, and whether the server may follow that primary. A
// higher term raises the promise; a lower term is refused.
func (p Promise) Follow(term fleet.Term, holder fleet.InstanceID) (Promise, bool) {
	if term > p.Term {
		return Promise{Holder: holder, Term: term}, true
	}
	return p, term == p.Term
}
