package session

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	oldKeys  = `{"keys":[{"id":"a","secret":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}`
	bothKeys = `{"keys":[{"id":"b","secret":"ZmVkY2JhOTg3NjU0MzIxMA=="},{"id":"a","secret":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}`
	newKeys  = `{"keys":[{"id":"b","secret":"ZmVkY2JhOTg3NjU0MzIxMA=="}]}`
)

func newRing(t testing.TB, text string) *KeyRing {
	r, err := ParseKeyRing([]byte(text))
	must.NoError(t, err)
	return r
}

// TestKeyRotation checks that a token stays valid while its key is in the key file,
// and that an invalid key file leaves the current keys in place.
func TestKeyRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	k := &Keys{}
	load := func(text string) *KeyRing {
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := k.Load(path)
		must.NoError(t, err)
		return k.Ring()
	}
	want := Token{Service: "diary", Position: 7}
	text := load(oldKeys).Seal(want)
	got, err := load(bothKeys).Open(text)
	must.NoError(t, err)
	must.Eq(t, want, got)
	must.StrHasPrefix(t, "v1.b.", k.Ring().Seal(want))
	_, err = load(newKeys).Open(text)
	must.ErrorIs(t, err, ErrUnknownKey)

	must.NoError(t, os.WriteFile(path, []byte("{"), 0o600))
	_, err = k.Load(path)
	must.ErrorIs(t, err, ErrKeyFile)
	must.Eq(t, []string{"b"}, k.Ring().IDs())
}

func TestOpenRejectsInvalidToken(t *testing.T) {
	r := newRing(t, bothKeys)
	good := r.Seal(Token{Service: "diary", Position: 7})
	foreign := newRing(t, oldKeys).Seal(Token{Service: "diary", Position: 9})
	payload := strings.Split(foreign, ".")[2]
	parts := strings.Split(good, ".")
	tests := map[string]struct {
		text string
		err  error
	}{
		"empty":         {"", ErrMalformed},
		"parts missing": {"v1.b.x", ErrMalformed},
		"version":       {"v2" + good[2:], ErrMalformed},
		"key":           {"v1.c." + parts[2] + "." + parts[3], ErrUnknownKey},
		"payload":       {"v1.b." + payload + "." + parts[3], ErrBadSignature},
		"key swapped":   {"v1.a." + parts[2] + "." + parts[3], ErrBadSignature},
		"signature":     {good[:len(good)-4] + "AAAA", ErrBadSignature},
		"not base64":    {good + "!", ErrMalformed},
		"long":          {good + strings.Repeat("A", maxTokenBytes), ErrMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := r.Open(test.text)
			must.ErrorIs(t, err, test.err)
		})
	}
}

// TestErrorsOmitSecrets guards against secrets of a key file in error messages.
func TestErrorsOmitSecrets(t *testing.T) {
	const secret = "c2VjcmV0"
	for _, text := range []string{
		`{"keys":[{"id":"a","secret":"` + secret + `"}]}`,
		`{"keys":[{"id":"a","secret":"` + secret + `"`,
		`{"keys":[{"id":"A","secret":"` + secret + `"}]}`,
	} {
		_, err := ParseKeyRing([]byte(text))
		must.ErrorIs(t, err, ErrKeyFile)
		must.StrNotContains(t, err.Error(), secret)
	}
	must.StrNotContains(t, fmt.Sprintf("%s", newRing(t, newKeys).IDs()), "fedcba")
}

// FuzzOpen checks that Open returns only its typed errors, and that a token which it
// accepts survives another Seal and Open.
func FuzzOpen(f *testing.F) {
	r := newRing(f, bothKeys)
	f.Add(r.Seal(Token{Service: "diary", Position: 7}))
	f.Add("v1.a..")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := r.Open(text)
		switch {
		case err == nil:
			again, err := r.Open(r.Seal(token))
			must.NoError(t, err)
			must.Eq(t, token, again)
		case !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrUnknownKey) && !errors.Is(err, ErrBadSignature):
			t.Fatalf("untyped error %v", err)
		}
	})
}
