package sheet

import (
	"fmt"

	"github.com/tailscale/hujson"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// SetDataCentre returns the sheet with the state of a data centre changed. The
// rest of the sheet, with its comments, is kept.
func SetDataCentre(content string, dataCentre fleet.DataCentre, state State) (string, error) {
	return setState(content, "DataCentres", "DataCentre", string(dataCentre), state)
}

// SetServer returns the sheet with the state of a backend server changed. The
// rest of the sheet, with its comments, is kept.
func SetServer(content string, server fleet.ServerID, state State) (string, error) {
	return setState(content, "Servers", "Server", string(server), state)
}

func setState(content, list, idName, id string, state State) (string, error) {
	const op = "edit sheet"
	if _, err := Parse("sheet", []byte(content)); err != nil {
		return "", err
	}
	root, err := hujson.Parse([]byte(content))
	if err != nil {
		return "", &Error{Err: err, Kind: KindInvalid, Op: op}
	}
	object, isObject := root.Value.(*hujson.Object)
	if !isObject {
		return "", &Error{Err: fmt.Errorf("sheet is not an object"), Kind: KindInvalid, Op: op}
	}
	entry := findEntry(findList(object, list), idName, id)
	setMember(entry, "State", hujson.String(string(state)))
	root.Format()
	return string(root.Pack()), nil
}

// findEntry returns the entry of a list with an id, which it adds when missing.
func findEntry(list *hujson.Array, idName, id string) *hujson.Object {
	for _, element := range list.Elements {
		object, isObject := element.Value.(*hujson.Object)
		if isObject && memberText(object, idName) == id {
			return object
		}
	}
	object := &hujson.Object{}
	setMember(object, idName, hujson.String(id))
	list.Elements = append(list.Elements, hujson.Value{Value: object})
	return object
}

// findList returns a list of the sheet, which it adds when missing.
func findList(object *hujson.Object, name string) *hujson.Array {
	for _, member := range object.Members {
		if array, isArray := member.Value.Value.(*hujson.Array); isArray && memberName(member) == name {
			return array
		}
	}
	array := &hujson.Array{}
	object.Members = append(object.Members, newMember(name, array))
	return array
}

func memberName(member hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

func memberText(object *hujson.Object, name string) string {
	for _, member := range object.Members {
		if literal, isLiteral := member.Value.Value.(hujson.Literal); isLiteral && memberName(member) == name {
			return literal.String()
		}
	}
	return ""
}

func newMember(name string, value hujson.ValueTrimmed) hujson.ObjectMember {
	return hujson.ObjectMember{
		Name:  hujson.Value{BeforeExtra: hujson.Extra("\n"), Value: hujson.String(name)},
		Value: hujson.Value{Value: value},
	}
}

func setMember(object *hujson.Object, name string, value hujson.Literal) {
	for i, member := range object.Members {
		if memberName(member) == name {
			object.Members[i].Value.Value = value
			return
		}
	}
	member := newMember(name, value)
	member.Name.BeforeExtra = nil
	object.Members = append(object.Members, member)
}
