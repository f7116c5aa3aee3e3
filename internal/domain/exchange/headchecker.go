package exchange

// HeadChecker is implemented by a TargetCodec that recognises an invalid reply from the
// first bytes of its head, so that its connection can be closed at once.
type HeadChecker interface {
	// CheckHead checks the beginning of a reply. It reports whether the head is
	// complete, and fails if nothing that follows can make it valid.
	CheckHead(begin []byte) (complete bool, err error)
}
