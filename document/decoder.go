package document

import (
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

var durationType = reflect.TypeFor[time.Duration]()

// decoder copies a parsed tree into a struct.
type decoder struct {
	document *Document
	rules    map[string]Rule
}

// place is where a value stands: its key path, and the path for its rule.
type place struct {
	path    string
	pattern string
}

func (p place) element(index int) place {
	return place{path: p.path + "[" + strconv.Itoa(index) + "]", pattern: p.pattern + "[]"}
}

func (p place) field(name string) place {
	if p.path == "" {
		return place{path: name, pattern: name}
	}
	return place{path: p.path + "." + name, pattern: p.pattern + "." + name}
}

func (d *decoder) decodeRoot(root hujson.Value, target any) {
	d.decode(place{}, root, reflect.ValueOf(target).Elem())
}

func (d *decoder) decode(at place, value hujson.Value, target reflect.Value) {
	d.document.offsets[at.path] = value.StartOffset
	switch {
	case target.Type() == durationType:
		d.decodeDuration(at, value, target)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(at, value, target)
	case target.Kind() == reflect.Slice:
		d.decodeList(at, value, target)
	case target.Kind() == reflect.String:
		d.decodeText(at, value, target)
	case target.Kind() == reflect.Bool:
		d.decodeBool(at, value, target)
	default:
		d.decodeNumber(at, value, target)
	}
}

func (d *decoder) decodeBool(at place, value hujson.Value, target reflect.Value) {
	kind := value.Value.Kind()
	if kind != 't' && kind != 'f' {
		d.refuse(at, value, "want true or false", false)
		return
	}
	target.SetBool(kind == 't')
}

func (d *decoder) decodeDuration(at place, value hujson.Value, target reflect.Value) {
	if value.Value.Kind() != '"' {
		d.refuse(at, value, `want a duration in quotes, such as "900ms"`, true)
		return
	}
	duration, err := time.ParseDuration(value.Value.(hujson.Literal).String())
	if err != nil {
		d.refuse(at, value, `want a duration, such as "900ms"`, true)
		return
	}
	if !d.rules[at.pattern].acceptsNumber(float64(duration)) {
		d.refuse(at, value, "out of range", true)
		return
	}
	target.SetInt(int64(duration))
}

func (d *decoder) decodeList(at place, value hujson.Value, target reflect.Value) {
	array, isArray := value.Value.(*hujson.Array)
	if !isArray {
		d.refuse(at, value, "want a list", false)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decode(at.element(i), element, list.Index(i))
	}
	target.Set(list)
	if d.rules[at.pattern].Required && list.Len() == 0 {
		d.document.Add(at.path, "list is empty")
	}
}

func (d *decoder) decodeNumber(at place, value hujson.Value, target reflect.Value) {
	if value.Value.Kind() != '0' {
		d.refuse(at, value, "want a number", false)
		return
	}
	text := string(value.Value.(hujson.Literal))
	number, err := strconv.ParseFloat(text, 64)
	if err == nil {
		err = setNumber(target, text)
	}
	if err != nil {
		d.refuse(at, value, "want "+numberName(target), false)
		return
	}
	if !d.rules[at.pattern].acceptsNumber(number) {
		d.refuse(at, value, "out of range", false)
		target.SetZero()
	}
}

func (d *decoder) decodeStruct(at place, value hujson.Value, target reflect.Value) {
	object, isObject := value.Value.(*hujson.Object)
	if !isObject {
		d.refuse(at, value, "want an object", false)
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		d.decodeMember(at, member, target, seen)
	}
	d.fillMissing(at, target, seen)
}

func (d *decoder) decodeMember(at place, member hujson.ObjectMember, target reflect.Value, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	child := at.field(name)
	field := target.FieldByName(name)
	switch {
	case !field.IsValid():
		d.document.add(member.Name.StartOffset, Problem{Message: unknownKey(name, target.Type()), Path: child.path})
	case seen[name]:
		d.document.add(member.Name.StartOffset, Problem{Message: "key occurs twice", Path: child.path})
	default:
		seen[name] = true
		d.decode(child, member.Value, field)
	}
}

func (d *decoder) decodeText(at place, value hujson.Value, target reflect.Value) {
	if value.Value.Kind() != '"' {
		d.refuse(at, value, "want a text in quotes", false)
		return
	}
	text := value.Value.(hujson.Literal).String()
	if !d.rules[at.pattern].acceptsText(text) {
		d.refuse(at, value, "value is not accepted", false)
		return
	}
	target.SetString(text)
}

// fillMissing sets defaults of keys that are not in the document.
func (d *decoder) fillMissing(at place, target reflect.Value, seen map[string]bool) {
	for i := range target.NumField() {
		name := target.Type().Field(i).Name
		if seen[name] {
			continue
		}
		child := at.field(name)
		field := target.Field(i)
		if field.Kind() == reflect.Struct {
			d.fillMissing(child, field, nil)
			continue
		}
		d.fillDefault(child, field)
	}
}

func (d *decoder) fillDefault(at place, field reflect.Value) {
	rule := d.rules[at.pattern]
	if rule.Required {
		d.document.Add(at.path, "key is missing")
	}
	if rule.Default == "" {
		return
	}
	if err := setText(field, rule.Default); err != nil {
		d.document.Add(at.path, "default "+rule.Default+": "+err.Error())
	}
}

func (d *decoder) refuse(at place, value hujson.Value, message string, duration bool) {
	rule := d.rules[at.pattern]
	problem := Problem{Accepted: rule.Accepted(duration), Message: message, Path: at.path}
	if literal, isLiteral := value.Value.(hujson.Literal); isLiteral && !rule.Secret {
		problem.Value = string(literal)
	}
	d.document.add(value.StartOffset, problem)
}

func numberName(target reflect.Value) string {
	switch target.Kind() {
	case reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}

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

func setText(target reflect.Value, text string) error {
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
