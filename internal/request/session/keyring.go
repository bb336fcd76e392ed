package session

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"sync/atomic"
)

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

var idPattern = regexp.MustCompile(`^[a-z0-9-]{1,32}$`)

// key is a named secret. Its fields are unexported, so that no log line or JSON
// document contains them by accident.
type key struct {
	id     string
	secret []byte
}

// KeyRing is an immutable list of keys. The first one signs tokens; signatures of all
// of them are accepted, so that keys can be rotated.
type KeyRing struct{ keys []key }

// key returns the key with the given ID, or nil.
func (r *KeyRing) key(id string) *key {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}

// IDs returns the IDs of the keys, the signing key first.
func (r *KeyRing) IDs() []string {
	ids := make([]string, len(r.keys))
	for i, k := range r.keys {
		ids[i] = k.id
	}
	return ids
}

// keyFile is the format of the key file. Secrets are base64 text.
type keyFile struct {
	Keys []struct {
		ID     string `json:"id"`
		Secret []byte `json:"secret"`
	} `json:"keys"`
}

// ErrKeyFile reports a key file that cannot be used. Errors contain no secret and no
// part of the file other than key IDs.
var ErrKeyFile = errors.New("session key file is not valid")

// ParseKeyRing parses the content of a key file.
func ParseKeyRing(data []byte) (*KeyRing, error) {
	var f keyFile
	if json.Unmarshal(data, &f) != nil {
		return nil, fmt.Errorf(`%w: want {"keys":[{"id":"...","secret":"<base64>"}]}`, ErrKeyFile)
	}
	if len(f.Keys) == 0 {
		return nil, fmt.Errorf("%w: keys: empty", ErrKeyFile)
	}
	r := &KeyRing{}
	for i, k := range f.Keys {
		if !idPattern.MatchString(k.ID) {
			return nil, fmt.Errorf("%w: keys[%d].id: want %s", ErrKeyFile, i, idPattern)
		}
		if r.key(k.ID) != nil {
			return nil, fmt.Errorf("%w: keys[%d].id: %s is there twice", ErrKeyFile, i, k.ID)
		}
		if len(k.Secret) < minSecretBytes {
			return nil, fmt.Errorf("%w: keys[%d].secret: want at least %d bytes", ErrKeyFile, i, minSecretBytes)
		}
		r.keys = append(r.keys, key{id: k.ID, secret: k.Secret})
	}
	return r, nil
}

// Keys holds the current key ring, which can be replaced while requests are in
// progress. The zero Keys has none. It is safe for concurrent use.
type Keys struct{ ring atomic.Pointer[KeyRing] }

// Ring returns the current key ring, or nil.
func (k *Keys) Ring() *KeyRing { return k.ring.Load() }

// Load makes the keys of the key file at path the current ones. It reports whether
// the key IDs changed. After an error the earlier keys stay current.
func (k *Keys) Load(path string) (bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("read session keys: %w", err)
	}
	r, err := ParseKeyRing(data)
	if err != nil {
		return false, fmt.Errorf("read session keys %s: %w", path, err)
	}
	old := k.ring.Swap(r)
	return old == nil || fmt.Sprint(old.IDs()) != fmt.Sprint(r.IDs()), nil
}
