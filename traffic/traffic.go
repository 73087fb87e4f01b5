// Package traffic counts the bytes and messages that an instance exchanges with the store
// and with other instances for its own control, without those of callers and servers.
package traffic

import "expvar"

// Kind is a kind of control messages.
type Kind string

// Kinds of control messages.
const (
	KindOwnerCall    Kind = "OwnerCall"
	KindProbe        Kind = "Probe"
	KindRelayChanges Kind = "RelayChanges"
	KindRelayLoad    Kind = "RelayLoad"
	KindRowWrite     Kind = "RowWrite"
	KindStoreFeed    Kind = "StoreFeed"
	KindStoreRead    Kind = "StoreRead"
	KindStoreWrite   Kind = "StoreWrite"
	KindTokens       Kind = "Tokens"
)

// Direction is the direction of a message, as seen by this instance.
type Direction string

// Directions of messages.
const (
	In  Direction = "In"
	Out Direction = "Out"
)

var controlBytes, controlMessages = expvar.NewMap("ControlBytes"), expvar.NewMap("ControlMessages")

// Count counts a message with a number of bytes, without the headers of its transport.
func Count(kind Kind, direction Direction, bytes int) {
	name := string(kind) + " " + string(direction)
	controlBytes.Add(name, int64(bytes))
	controlMessages.Add(name, 1)
}

// Bytes returns the number of bytes counted so far.
func Bytes(kind Kind, direction Direction) int64 {
	return value(controlBytes, kind, direction)
}

// Messages returns the number of messages counted so far.
func Messages(kind Kind, direction Direction) int64 {
	return value(controlMessages, kind, direction)
}

func value(counts *expvar.Map, kind Kind, direction Direction) int64 {
	if count, found := counts.Get(string(kind) + " " + string(direction)).(*expvar.Int); found {
		return count.Value()
	}
	return 0
}
