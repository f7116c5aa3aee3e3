package fleet

import "github.com/swiftvane/swiftvane/internal/domain/config"

// Document returns the configuration document in force, or nil before the first
// one is accepted. It must not be modified.
func (f *Fleet) Document() *config.Document {
	return f.current.Load().documents[configDocument].doc
}
