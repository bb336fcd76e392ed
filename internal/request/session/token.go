// Package session issues and verifies session tokens, which give callers
// read-your-writes consistency: a token states the position of a service that its
// holder has seen. Callers carry the tokens, which are signed with HMAC-SHA256; no
// session state is stored.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	version = "v1"
	// maxTokenBytes bounds the length of a token's text.
	maxTokenBytes = 512
	tokenFields   = 4
)

// Errors of KeyRing.Open.
var (
	// ErrMalformed means that the text is not a token.
	ErrMalformed = errors.New("session token is garbled")
	// ErrUnknownKey means that the token names a key that this host does not have.
	ErrUnknownKey = errors.New("session token is signed with a key that is not in use")
	// ErrBadSignature means that the signature does not match.
	ErrBadSignature = errors.New("session token has a wrong signature")
)

// Token is the position of a service that a caller has seen.
type Token struct {
	Service  platform.ServiceName
	Position uint64
}

var encoding = base64.RawURLEncoding

// Seal returns the text of t, signed with the first key of the ring. Its format is
// "v1.<key id>.<payload>.<signature>"; payload and signature are base64url.
func (r *KeyRing) Seal(t Token) string {
	k := r.keys[0]
	payload := strconv.FormatUint(t.Position, 10) + ":" + string(t.Service)
	signed := version + "." + k.id + "." + encoding.EncodeToString([]byte(payload))
	return signed + "." + encoding.EncodeToString(k.sign(signed))
}

// Open verifies the signature of text and returns its token.
func (r *KeyRing) Open(text string) (Token, error) {
	if len(text) > maxTokenBytes {
		return Token{}, fmt.Errorf("%w: %d bytes, at most %d", ErrMalformed, len(text), maxTokenBytes)
	}
	parts := strings.Split(text, ".")
	if len(parts) != tokenFields || parts[0] != version {
		return Token{}, fmt.Errorf("%w: want %s.<key id>.<payload>.<signature>", ErrMalformed, version)
	}
	k := r.key(parts[1])
	if k == nil {
		return Token{}, ErrUnknownKey
	}
	signature, err := encoding.DecodeString(parts[3])
	if err != nil {
		return Token{}, fmt.Errorf("%w: signature is not base64url", ErrMalformed)
	}
	signed := text[:len(text)-len(parts[3])-1]
	if !hmac.Equal(signature, k.sign(signed)) {
		return Token{}, ErrBadSignature
	}
	return parsePayload(parts[2])
}

// parsePayload parses a payload, which is "<position>:<service>" in base64url.
func parsePayload(text string) (Token, error) {
	payload, err := encoding.DecodeString(text)
	if err != nil {
		return Token{}, fmt.Errorf("%w: payload is not base64url", ErrMalformed)
	}
	number, service, ok := strings.Cut(string(payload), ":")
	position, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return Token{}, fmt.Errorf("%w: payload has no position", ErrMalformed)
	}
	return Token{Service: platform.ServiceName(service), Position: position}, nil
}

// sign returns the HMAC-SHA256 of text.
func (k *key) sign(text string) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write([]byte(text))
	return h.Sum(nil)
}
