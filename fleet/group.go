package fleet

import (
	"strconv"
	"strings"
)

// The name of a group consists of the model, epochSeparator and the epoch. The head's id and
// address may follow, each after a headSeparator.
const (
	epochSeparator = "-r"
	headSeparator  = "!"
)

// GroupName returns the name of a group, which is unique because its epoch is. Every member reports
// the name. A later leader can therefore obtain the model and the head's address from any member,
// even if the head is no longer listed. A nil head is left out.
func GroupName(model string, epoch int64, head *Worker) string {
	name := model + epochSeparator + strconv.FormatInt(epoch, 36)
	if head == nil {
		return name
	}
	return name + headSeparator + head.ID + headSeparator + head.Address
}

// ModelOf returns the model in a group's name, or an empty string if the name has none.
func ModelOf(group string) string {
	short := shortName(group)
	i := strings.LastIndex(short, epochSeparator)
	if i < 0 {
		return ""
	}
	return short[:i]
}

// HeadOf returns the id and the address of the head in a group's name, and false if the name has
// none.
func HeadOf(group string) (id, address string, ok bool) {
	_, rest, ok := strings.Cut(group, headSeparator)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, headSeparator)
}

// shortName returns a group's name without its head.
func shortName(group string) string {
	short, _, _ := strings.Cut(group, headSeparator)
	return short
}

// GroupKey returns the key of a group: its name without the head, and its epoch.
func GroupKey(m Membership) string {
	return shortName(m.Group) + "@" + strconv.FormatInt(m.Epoch, 10)
}

// KeyOf returns the key of a group from its model and epoch. It equals the result of GroupKey.
func KeyOf(model string, epoch int64) string {
	return GroupKey(Membership{Group: GroupName(model, epoch, nil), Epoch: epoch})
}

// SplitKey returns the model and the epoch of a group's key, and false for a key that KeyOf does
// not return.
func SplitKey(key string) (model string, epoch int64, ok bool) {
	name, digits, found := strings.Cut(key, "@")
	if !found {
		return "", 0, false
	}
	epoch, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return "", 0, false
	}
	model = ModelOf(name)
	return model, epoch, model != "" && KeyOf(model, epoch) == key
}
