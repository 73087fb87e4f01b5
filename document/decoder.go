package document

import (
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

var durationType = reflect.TypeFor[time.Duration]()

// decoder copies a parsed document into a struct and reports the problems found on
// the way.
type decoder struct {
	document *Document
	// rules holds the rules by their Path.
	rules map[string]Rule
}

// location identifies a value by its key path, such as "Groups[0].Group", and by
// the path of its rule, such as "Groups[].Group".
type location struct {
	path     string
	rulePath string
}

func (l location) element(index int) location {
	return location{path: l.path + "[" + strconv.Itoa(index) + "]", rulePath: l.rulePath + "[]"}
}

func (l location) field(name string) location {
	if l.path == "" {
		return location{path: name, rulePath: name}
	}
	return location{path: l.path + "." + name, rulePath: l.rulePath + "." + name}
}

// decodeRoot decodes the document into target, which is a pointer to a struct.
func (d *decoder) decodeRoot(root hujson.Value, target any) {
	d.decode(location{}, root, reflect.ValueOf(target).Elem())
}

// decode decodes one value into target, according to its type, and records the
// offset of the value.
func (d *decoder) decode(at location, value hujson.Value, target reflect.Value) {
	d.document.offsets[at.path] = value.StartOffset
	switch {
	case target.Type() == durationType:
		d.decodeDuration(at, value, target)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(at, value, target)
	case target.Kind() == reflect.Slice:
		d.decodeList(at, value, target)
	case target.Kind() == reflect.String:
		d.decodeString(at, value, target)
	case target.Kind() == reflect.Bool:
		d.decodeBool(at, value, target)
	default:
		d.decodeNumber(at, value, target)
	}
}

func (d *decoder) decodeBool(at location, value hujson.Value, target reflect.Value) {
	kind := value.Value.Kind()
	if kind != 't' && kind != 'f' {
		d.reject(at, value, "want true or false", false)
		return
	}
	target.SetBool(kind == 't')
}

func (d *decoder) decodeDuration(at location, value hujson.Value, target reflect.Value) {
	if value.Value.Kind() != '"' {
		d.reject(at, value, `want a duration in quotes, such as "900ms"`, true)
		return
	}
	duration, err := time.ParseDuration(value.Value.(hujson.Literal).String())
	if err != nil {
		d.reject(at, value, `want a duration, such as "900ms"`, true)
		return
	}
	if !d.rules[at.rulePath].acceptsNumber(float64(duration)) {
		d.reject(at, value, "out of range", true)
		return
	}
	target.SetInt(int64(duration))
}

func (d *decoder) decodeList(at location, value hujson.Value, target reflect.Value) {
	array, isArray := value.Value.(*hujson.Array)
	if !isArray {
		d.reject(at, value, "want a list", false)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decode(at.element(i), element, list.Index(i))
	}
	target.Set(list)
	if d.rules[at.rulePath].Required && list.Len() == 0 {
		d.document.Add(at.path, "list is empty")
	}
}

func (d *decoder) decodeNumber(at location, value hujson.Value, target reflect.Value) {
	if value.Value.Kind() != '0' {
		d.reject(at, value, "want a number", false)
		return
	}
	text := string(value.Value.(hujson.Literal))
	number, err := strconv.ParseFloat(text, 64)
	if err == nil {
		err = setNumber(target, text)
	}
	if err != nil {
		d.reject(at, value, "want "+describeNumber(target), false)
		return
	}
	if !d.rules[at.rulePath].acceptsNumber(number) {
		d.reject(at, value, "out of range", false)
		target.SetZero()
	}
}

func (d *decoder) decodeStruct(at location, value hujson.Value, target reflect.Value) {
	object, isObject := value.Value.(*hujson.Object)
	if !isObject {
		d.reject(at, value, "want an object", false)
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		d.decodeMember(at, member, target, seen)
	}
	d.applyDefaults(at, target, seen)
}

// decodeMember decodes one key of an object and adds its name to seen.
func (d *decoder) decodeMember(at location, member hujson.ObjectMember, target reflect.Value, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	child := at.field(name)
	field := target.FieldByName(name)
	switch {
	case !field.IsValid():
		d.document.add(member.Name.StartOffset, Problem{Message: unknownKeyMessage(name, target.Type()), Path: child.path})
	case seen[name]:
		d.document.add(member.Name.StartOffset, Problem{Message: "key occurs twice", Path: child.path})
	default:
		seen[name] = true
		d.decode(child, member.Value, field)
	}
}

func (d *decoder) decodeString(at location, value hujson.Value, target reflect.Value) {
	if value.Value.Kind() != '"' {
		d.reject(at, value, "want a string in quotes", false)
		return
	}
	text := value.Value.(hujson.Literal).String()
	if !d.rules[at.rulePath].acceptsText(text) {
		d.reject(at, value, "value is not accepted", false)
		return
	}
	target.SetString(text)
}

// applyDefaults sets the fields of a struct whose keys are missing in the document to
// their defaults. Seen holds the names of the keys that are present.
func (d *decoder) applyDefaults(at location, target reflect.Value, seen map[string]bool) {
	for i := range target.NumField() {
		name := target.Type().Field(i).Name
		if seen[name] {
			continue
		}
		child := at.field(name)
		field := target.Field(i)
		if field.Kind() == reflect.Struct {
			d.applyDefaults(child, field, nil)
			continue
		}
		d.applyDefault(child, field)
	}
}

// applyDefault sets the default of one missing key, and reports the key if it is
// required.
func (d *decoder) applyDefault(at location, field reflect.Value) {
	rule := d.rules[at.rulePath]
	if rule.Required {
		d.document.Add(at.path, "key is missing")
	}
	if rule.Default == "" {
		return
	}
	if err := parseInto(field, rule.Default); err != nil {
		d.document.Add(at.path, "invalid default "+rule.Default+": "+err.Error())
	}
}

// reject reports that a value is not accepted. The problem contains the value, unless
// it is secret.
func (d *decoder) reject(at location, value hujson.Value, message string, isDuration bool) {
	rule := d.rules[at.rulePath]
	problem := Problem{Accepted: rule.Accepted(isDuration), Message: message, Path: at.path}
	if literal, isLiteral := value.Value.(hujson.Literal); isLiteral && !rule.Secret {
		problem.Value = string(literal)
	}
	d.document.add(value.StartOffset, problem)
}

// describeNumber describes the numbers that a field can hold.
func describeNumber(target reflect.Value) string {
	switch target.Kind() {
	case reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}

// setNumber parses a number and assigns it to a field.
func setNumber(target reflect.Value, text string) error {
	switch target.Kind() {
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		target.SetFloat(number)
		return err
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		number, err := strconv.ParseUint(text, 10, target.Type().Bits())
		target.SetUint(number)
		return err
	default:
		number, err := strconv.ParseInt(text, 10, target.Type().Bits())
		target.SetInt(number)
		return err
	}
}

// parseInto parses the text form of a value and assigns it to a field.
func parseInto(target reflect.Value, text string) error {
	switch {
	case target.Type() == durationType:
		duration, err := time.ParseDuration(text)
		target.SetInt(int64(duration))
		return err
	case target.Kind() == reflect.String:
		target.SetString(text)
		return nil
	case target.Kind() == reflect.Bool:
		value, err := strconv.ParseBool(text)
		target.SetBool(value)
		return err
	default:
		return setNumber(target, text)
	}
}
