package sheet

import (
	"fmt"

	"github.com/tailscale/hujson"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// SetDataCentre returns the sheet with the state of a data centre set. The rest of
// the sheet keeps its values and comments, but the text is reformatted.
func SetDataCentre(content string, dataCentre fleet.DataCentre, state State) (string, error) {
	return setState(content, "DataCentres", "DataCentre", string(dataCentre), state)
}

// SetServer returns the sheet with the state of a backend server set. The rest of the
// sheet keeps its values and comments, but the text is reformatted.
func SetServer(content string, server fleet.ServerID, state State) (string, error) {
	return setState(content, "Servers", "Server", string(server), state)
}

// setState sets the state of the list entry whose member idName has the given ID.
// It adds the list and the entry if they do not exist.
func setState(content, listName, idName, id string, state State) (string, error) {
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
		return "", &Error{Err: fmt.Errorf("the sheet is not a JSON object"), Kind: KindInvalid, Op: op}
	}
	entry := findOrAddEntry(findOrAddList(object, listName), idName, id)
	setMember(entry, "State", hujson.String(string(state)))
	root.Format()
	return string(root.Pack()), nil
}

// findOrAddEntry returns the list entry with the given ID. It adds the entry if it
// does not exist.
func findOrAddEntry(list *hujson.Array, idName, id string) *hujson.Object {
	for _, element := range list.Elements {
		object, isObject := element.Value.(*hujson.Object)
		if isObject && memberString(object, idName) == id {
			return object
		}
	}
	object := &hujson.Object{}
	setMember(object, idName, hujson.String(id))
	list.Elements = append(list.Elements, hujson.Value{Value: object})
	return object
}

// findOrAddList returns the list with the given name. It adds the list to the
// object if it does not exist.
func findOrAddList(object *hujson.Object, listName string) *hujson.Array {
	for _, member := range object.Members {
		if array, isArray := member.Value.Value.(*hujson.Array); isArray && memberName(member) == listName {
			return array
		}
	}
	array := &hujson.Array{}
	object.Members = append(object.Members, newMember(listName, array))
	return array
}

func memberName(member hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

// memberString returns the string value of an object member, or an empty string if
// the object has no such member.
func memberString(object *hujson.Object, name string) string {
	for _, member := range object.Members {
		if literal, isLiteral := member.Value.Value.(hujson.Literal); isLiteral && memberName(member) == name {
			return literal.String()
		}
	}
	return ""
}

// newMember returns an object member that starts on a new line.
func newMember(name string, value hujson.ValueTrimmed) hujson.ObjectMember {
	return hujson.ObjectMember{
		Name:  hujson.Value{BeforeExtra: hujson.Extra("\n"), Value: hujson.String(name)},
		Value: hujson.Value{Value: value},
	}
}

// setMember replaces the value of an object member, or adds the member.
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
