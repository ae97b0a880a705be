package fleet

import (
	"strconv"
	"strings"
)

// The parts of a group's name: the model, nameMark and the epoch, then the
// head's id and address, each after a headMark.
const (
	nameMark = "-r"
	headMark = "!"
)

// GroupName returns the name of a group. No two groups share an epoch, and so
// no two share a name. Every member tells the name, so that a later leader
// learns from any of them the model and where the head is, even if the head has
// gone from the list.
func GroupName(model string, epoch int64, head *Worker) string {
	name := model + nameMark + strconv.FormatInt(epoch, 36)
	if head == nil {
		return name
	}
	return name + headMark + head.ID + headMark + head.Address
}

// ModelOf returns the model that a group's name tells, or an empty string.
func ModelOf(group string) string {
	short := shortName(group)
	i := strings.LastIndex(short, nameMark)
	if i < 0 {
		return ""
	}
	return short[:i]
}

// HeadOf returns the id and the address of the head that a group's name tells,
// and false if it tells none.
func HeadOf(group string) (id, address string, ok bool) {
	_, rest, ok := strings.Cut(group, headMark)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, headMark)
}

// shortName returns a group's name without its head.
func shortName(group string) string {
	short, _, _ := strings.Cut(group, headMark)
	return short
}

// GroupKey names a group in one epoch, without its head.
func GroupKey(m Membership) string {
	return shortName(m.Group) + "@" + strconv.FormatInt(m.Epoch, 10)
}

// KeyOf returns the key of a group of a model, as GroupKey does.
func KeyOf(model string, epoch int64) string {
	return GroupKey(Membership{Group: GroupName(model, epoch, nil), Epoch: epoch})
}

// SplitKey returns the model and the epoch that a group's key tells, and false for
// one that KeyOf did not make.
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
