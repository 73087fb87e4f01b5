package standin

import "github.com/nutmegpier/nutmegpier/fleet"

// Promise is the highest term that a server has promised, and to whom. A
// server takes no entry and no write of a lower term.
type Promise struct {
	// Holder is the instance that may promote the server in the term.
	Holder fleet.InstanceID
	// Term is the promised term.
	Term fleet.Term
}

// Allows reports whether the holder may promote the server in the term.
func (p Promise) Allows(term fleet.Term, holder fleet.InstanceID) bool {
	return p.Term == term && p.Holder == holder
}

// Grant returns the promise after a request, and whether the request is
// granted. A term has one holder, a repeated request is granted again, and a
// lower term is refused.
func (p Promise) Grant(term fleet.Term, holder fleet.InstanceID) (Promise, bool) {
	if term > p.Term {
		return Promise{Holder: holder, Term: term}, true
	}
	return p, p.Allows(term, holder)
}

// Follow returns the promise after an entry of a primary arrived that leads
// the term by the holder's promotion, and whether the entry is accepted.
func (p Promise) Follow(term fleet.Term, holder fleet.InstanceID) (Promise, bool) {
	if term > p.Term {
		return Promise{Holder: holder, Term: term}, true
	}
	return p, term == p.Term
}
