package sheet

import (
	"encoding/json"
	"time"
)

// Record is a published sheet as it is stored in the platform's table and in the
// instances.
type Record struct {
	Comment string
	// Content is the sheet as the operator wrote it.
	Content     string
	Publication PublicationID
	PublishedAt time.Time
	// Publisher identifies the operator who published the sheet.
	Publisher string
}

// ParseRecord parses the JSON form of a record.
func ParseRecord(encoded []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(encoded, &record); err != nil {
		return Record{}, &Error{Op: "parse record", Kind: KindInvalid, Err: err}
	}
	return record, nil
}

// Encode returns the JSON form of the record.
func (r Record) Encode() ([]byte, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{Op: "encode record", Kind: KindInvalid, Err: err}
	}
	return encoded, nil
}
