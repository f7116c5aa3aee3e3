package reach

// Opinion is what a host can say of a target that another host lost with a request.
type Opinion uint8

const (
	// Unknown means that the host has not heard enough of the target.
	Unknown Opinion = iota
	// Ended means that the host has lost the target too.
	Ended
	// Alive means that the target has answered the host on a connection that was open all
	// the while.
	Alive
)

// With returns what two hosts know together: an answer proves that the target lives, while a
// host that has lost it may be cut off as well.
func (o Opinion) With(other Opinion) Opinion { return max(o, other) }

// Crashed returns, for each lost target, whether it has to be taken for crashed by the opinions
// of other hosts on all of them. A target of which nobody knows more counts as crashed unless
// more of the others are known to live than to have ended: then this host has lost its links.
func Crashed(opinions []Opinion) []bool {
	counts := map[Opinion]int{}
	for _, o := range opinions {
		counts[o]++
	}
	crashed := make([]bool, len(opinions))
	for i, o := range opinions {
		crashed[i] = o == Ended || o == Unknown && counts[Alive] <= counts[Ended]
	}
	return crashed
}
