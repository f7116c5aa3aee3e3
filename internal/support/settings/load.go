package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and checks the settings file at path, and the key and token files
// that it names. The error wraps Errors if keys are bad; otherwise the file can't
// be read or is not TOML.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(content)
	if err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return s, nil
}

// Check is Load without its result.
func Check(path string) error {
	_, err := Load(path)
	return err
}

// Parse reads and checks settings as Load does, but from memory.
func Parse(content []byte) (*Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(content, &tree); err != nil {
		return nil, describeSyntax(err)
	}
	decoder := newDecoder()
	decoder.decode(tree)
	s := decoder.settings
	errs := decoder.errs
	errs = append(errs, s.checkRelations()...)
	errs = append(errs, s.loadSecrets()...)
	if len(errs) > 0 {
		slices.SortStableFunc(errs, func(a, b *FieldError) int { return strings.Compare(a.Path, b.Path) })
		return nil, errs
	}
	if s.Listen.AdvertisedPeer == "" {
		s.Listen.AdvertisedPeer = s.Listen.Peer
	}
	return s, nil
}

// describeSyntax adds the line and column to an error of the TOML decoder.
func describeSyntax(err error) error {
	decodeErr, ok := errors.AsType[*toml.DecodeError](err)
	if !ok {
		return err
	}
	line, column := decodeErr.Position()
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}
