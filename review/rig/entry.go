package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"strings"
)

// decodeEntry returns the fields of a searcher's entry, or false for other entries.
func decodeEntry(it item) (map[string]any, bool) {
	if !strings.HasPrefix(it.Key, "servers/") || it.Deleted {
		return nil, false
	}
	raw, err := base64.StdEncoding.DecodeString(it.Value)
	if err != nil {
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	entry := map[string]any{}
	return entry, decoder.Decode(&entry) == nil
}

// encodeEntry returns the item with other fields.
func encodeEntry(it item, entry map[string]any) item {
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	it.Value = base64.StdEncoding.EncodeToString(raw)
	return it
}
