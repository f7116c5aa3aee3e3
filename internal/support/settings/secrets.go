package settings

import (
	"bytes"
	"crypto/subtle"
	"fmt"
	"os"
)

const (
	// MinPeerKeyBytes is the minimum length of a peer key.
	MinPeerKeyBytes = 32
	// MinTokenBytes is the minimum length of an administration token.
	MinTokenBytes = 16
	// maxSecretBytes is the maximum size of a key or token file.
	maxSecretBytes = 64 << 10
)

// Secrets holds the contents of the key and token files, without leading and
// trailing white space.
type Secrets struct {
	PeerKeys   [][]byte
	ReadToken  []byte
	WriteToken []byte
}

// loadSecrets reads the key and token files and returns an error for each that is
// unusable or equal to the other key or token.
func (s *Settings) loadSecrets() Errors {
	var errs Errors
	report := func(path, file, problem string) {
		errs = append(errs, &FieldError{Path: path, Value: fmt.Sprintf("%q (%s)", file, problem), Allowed: allowedFor(path)})
	}
	read := func(path, file string, minBytes int) []byte {
		secret, problem := readSecret(file, minBytes)
		if problem != "" {
			report(path, file, problem)
		}
		return secret
	}
	for _, file := range s.Peers.KeyFiles {
		if key := read("peers.key_files", file, MinPeerKeyBytes); key != nil {
			s.Secrets.PeerKeys = append(s.Secrets.PeerKeys, key)
		}
	}
	if keys := s.Secrets.PeerKeys; len(keys) == 2 && subtle.ConstantTimeCompare(keys[0], keys[1]) == 1 {
		report("peers.key_files", s.Peers.KeyFiles[1], "holds the same key as the first file")
	}
	s.Secrets.ReadToken = read("admin.read_token_file", s.Admin.ReadTokenFile, MinTokenBytes)
	s.Secrets.WriteToken = read("admin.write_token_file", s.Admin.WriteTokenFile, MinTokenBytes)
	if s.Secrets.ReadToken != nil && subtle.ConstantTimeCompare(s.Secrets.ReadToken, s.Secrets.WriteToken) == 1 {
		report("admin.write_token_file", s.Admin.WriteTokenFile, "holds the read token")
	}
	return errs
}

// readSecret returns the secret in file, or nil and a description of the problem.
// An empty name is no problem here: the check of the key itself reports it.
func readSecret(file string, minBytes int) (secret []byte, problem string) {
	if file == "" {
		return nil, ""
	}
	info, err := os.Stat(file)
	switch {
	case err != nil:
		return nil, "can't be read: " + fileErrorText(err)
	case !info.Mode().IsRegular():
		return nil, "is not a regular file"
	case info.Size() > maxSecretBytes:
		return nil, fmt.Sprintf("has more than %d bytes", maxSecretBytes)
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, "can't be read: " + fileErrorText(err)
	}
	secret = bytes.TrimSpace(content)
	if len(secret) < minBytes {
		return nil, fmt.Sprintf("has %d bytes", len(secret))
	}
	if isPlaceholder(string(secret)) {
		return nil, "holds a placeholder"
	}
	return secret, ""
}
