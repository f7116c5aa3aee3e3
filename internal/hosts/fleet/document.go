package fleet

import "github.com/swiftvane/swiftvane/internal/domain/config"

// Document returns the configuration document in force as it was published, nil
// until one was accepted. It must not be modified.
func (f *Fleet) Document() *config.Document {
	return f.current.Load().documents[configDocument].doc
}
