package relay

import (
	"encoding/binary"
	"errors"
	"strconv"
)

const (
	// maxDigits is the length up to which a run of digits is treated as a number.
	maxDigits = 18
	// numberScale divides the changes of most numbers that are times in nanoseconds, as
	// rows of instances have them in whole milliseconds.
	numberScale = 1_000_000
	// partBlock is the length of the blocks of the base that partsDelta looks for.
	partBlock = 16
)

// errDelta is the error of a change that can't be applied to a value.
var errDelta = errors.New("the change does not apply to the known value")

// numbersDelta describes a value that differs from the base only in its numbers, as most
// rows of instances do at a heartbeat. It reports false for any other value.
func numbersDelta(base, value []byte) (delta []byte, found bool) {
	i, j, run, lastRun := 0, 0, 0, 0
	for i < len(base) && j < len(value) {
		before, after := digits(base[i:]), digits(value[j:])
		if before == 0 || after == 0 {
			if base[i] != value[j] {
				return nil, false
			}
			i, j = i+1, j+1
			continue
		}
		if string(base[i:i+before]) != string(value[j:j+after]) {
			from, fromOK := parseNumber(base[i : i+before])
			to, toOK := parseNumber(value[j : j+after])
			if !fromOK || !toOK {
				return nil, false
			}
			delta = binary.AppendUvarint(delta, uint64(run-lastRun))
			delta = binary.AppendVarint(delta, scaleNumber(to-from))
			lastRun = run
		}
		i, j, run = i+before, j+after, run+1
	}
	return delta, i == len(base) && j == len(value)
}

// applyNumbers is the inverse of numbersDelta.
func applyNumbers(base, delta []byte) ([]byte, error) {
	value := make([]byte, 0, len(base)+maxDigits)
	r := reader{data: delta}
	next, run := -1, 0
	if len(delta) > 0 {
		next = r.length()
	}
	for i := 0; i < len(base); {
		if next == -1 && !r.failed {
			// The numbers that change with each heartbeat come first.
			value = append(value, base[i:]...)
			break
		}
		count := digits(base[i:])
		if count == 0 {
			value = append(value, base[i])
			i++
			continue
		}
		if run == next {
			number, ok := parseNumber(base[i : i+count])
			change := r.varint()
			if !ok || r.failed {
				return nil, errDelta
			}
			value = strconv.AppendInt(value, number+unscaleNumber(change), 10)
			if next = -1; len(r.data) > 0 {
				next = run + r.length()
			}
		} else {
			value = append(value, base[i:i+count]...)
		}
		i, run = i+count, run+1
	}
	if next != -1 || r.failed {
		return nil, errDelta
	}
	return value, nil
}

// digits returns the number of leading digits of a text.
func digits(text []byte) int {
	count := 0
	for count < len(text) && text[count] >= '0' && text[count] <= '9' {
		count++
	}
	return count
}

// parseNumber returns the number that a run of digits stands for. It reports false if the
// number can't be converted back to the same digits.
func parseNumber(run []byte) (int64, bool) {
	if len(run) > maxDigits || (run[0] == '0' && len(run) > 1) {
		return 0, false
	}
	number, err := strconv.ParseInt(string(run), 10, 64)
	return number, err == nil
}

// scaleNumber shortens the change of a number. The last bit tells whether it was divided
// by numberScale.
func scaleNumber(change int64) int64 {
	if change%numberScale == 0 {
		return change/numberScale*2 + 1
	}
	return change * 2
}

func unscaleNumber(scaled int64) int64 {
	if scaled&1 == 1 {
		return (scaled - 1) / 2 * numberScale
	}
	return scaled / 2
}

// partsDelta describes a value by the parts that it has in common with the base, and
// what lies between them.
func partsDelta(base, value []byte) []byte {
	blocks := make(map[[partBlock]byte]int, len(base)/partBlock)
	for i := 0; i+partBlock <= len(base); i += partBlock {
		blocks[[partBlock]byte(base[i:])] = i
	}
	var delta []byte
	literal := 0
	for i := 0; i+partBlock <= len(value); {
		from, found := blocks[[partBlock]byte(value[i:])]
		if !found {
			i++
			continue
		}
		start, end := i, i+partBlock
		for start > literal && from > 0 && value[start-1] == base[from-1] {
			start, from = start-1, from-1
		}
		for end < len(value) && from+end-start < len(base) && value[end] == base[from+end-start] {
			end++
		}
		delta = appendBytes(delta, value[literal:start])
		delta = binary.AppendUvarint(delta, uint64(end-start))
		delta = binary.AppendUvarint(delta, uint64(from))
		i, literal = end, end
	}
	return appendBytes(delta, value[literal:])
}

// applyParts is the inverse of partsDelta.
func applyParts(base, delta []byte) ([]byte, error) {
	r := reader{data: delta}
	value := r.bytes()
	for len(r.data) > 0 && !r.failed {
		length, from := r.length(), r.length()
		if r.failed || from > len(base) || length > len(base)-from || len(value)+length > maxValueBytes {
			return nil, errDelta
		}
		value = append(value[:len(value):len(value)], base[from:from+length]...)
		value = append(value, r.bytes()...)
	}
	if r.failed {
		return nil, errDelta
	}
	return value, nil
}

// appendBytes appends a length and the bytes.
func appendBytes(to, content []byte) []byte {
	return append(binary.AppendUvarint(to, uint64(len(content))), content...)
}
