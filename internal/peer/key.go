package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// keyBytes is the length of the fleet's key.
	keyBytes = 32
	// keyRetryInterval is the pause before the next attempt to read the key from the
	// platform.
	keyRetryInterval = 300 * time.Millisecond
	// keyTimeout bounds one attempt to read or create the key.
	keyTimeout = 800 * time.Millisecond
	// HeaderSignature carries the signature of a message between instances.
	HeaderSignature = "Signature"
)

// Key is the secret with which instances authenticate each other. The first instance
// generates it and stores it on the platform, where only the fleet can read it.
// Exported fields are set before Serve. It is safe for concurrent use.
type Key struct {
	// Storage holds the key on the platform.
	Storage fleet.WriteOnceValue
	Logger  *zap.Logger

	macs atomic.Pointer[sync.Pool] // of hash.Hash with the secret; nil while it is unknown

	mu    sync.Mutex
	value []byte // nil while it is unknown
}

// String returns the name of the service in the supervisor's events.
func (k *Key) String() string { return "key" }

// Serve implements suture.Service. It returns once the key is known.
func (k *Key) Serve(ctx context.Context) error {
	if err := k.Refresh(ctx); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// Refresh reads the key from the platform, until that succeeds or ctx is done. If the platform has
// none, because it was restored from an older copy, the known key is stored again. A key that
// another instance has stored meanwhile replaces the known one: instances that start read it.
func (k *Key) Refresh(ctx context.Context) error {
	readFailed := false
	for ctx.Err() == nil {
		read, err := k.readOrCreate(ctx)
		if read {
			if readFailed {
				k.Logger.Info(event.DependencyRecovered, zap.String("feed", "key"))
			}
			return nil
		}
		if err != nil && !readFailed {
			readFailed = true
			k.Logger.Warn(event.DependencyLost, zap.String("feed", "key"), zap.Error(err))
		}
		select {
		case <-time.After(keyRetryInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// readOrCreate reads the key from the platform, or stores one if there is none: the known
// one, or else a new one. It reports whether the platform's key is known then.
func (k *Key) readOrCreate(ctx context.Context) (read bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	value, err := k.Storage.Get(ctx)
	if err != nil {
		return false, err
	}
	if len(value) == 0 {
		if err := k.Storage.Create(ctx, k.knownOrNew()); err != nil {
			return false, err
		}
		if value, err = k.Storage.Get(ctx); err != nil || len(value) == 0 {
			return false, err
		}
	}
	k.Set(value)
	return true, nil
}

func (k *Key) knownOrNew() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.value != nil {
		return k.value
	}
	value := make([]byte, keyBytes)
	_, _ = rand.Read(value) // never fails
	return value
}

// Set sets the key.
func (k *Key) Set(value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if bytes.Equal(value, k.value) {
		return
	}
	if k.value != nil {
		k.Logger.Warn(event.KeyReplaced)
	}
	k.value = value
	k.macs.Store(&sync.Pool{New: func() any { return hmac.New(sha256.New, value) }})
}

// Known reports whether the key is known.
func (k *Key) Known() bool { return k.macs.Load() != nil }

// sign returns the signature of data, or an empty string while the key is unknown.
// The purpose is part of the signed content, so that a signature made for one purpose
// is not valid for another.
func (k *Key) sign(purpose string, data []byte) string {
	macs := k.macs.Load()
	if macs == nil {
		return ""
	}
	mac := macs.Get().(hash.Hash)
	defer macs.Put(mac)
	mac.Reset()
	_, _ = io.WriteString(mac, purpose)
	_, _ = mac.Write([]byte{0})
	_, _ = mac.Write(data)
	var sum [sha256.Size]byte
	return hex.EncodeToString(mac.Sum(sum[:0]))
}

// verify reports whether a signature was made with the fleet key for this purpose.
// It returns false while the key is unknown.
func (k *Key) verify(purpose string, data []byte, signature string) bool {
	expected := k.sign(purpose, data)
	return expected != "" && hmac.Equal([]byte(expected), []byte(signature))
}

// Purposes of signatures.
const (
	purposeMessage  = "ask"
	purposeReserve  = "reserve"
	purposeResponse = "answer"
	purposeSnapshot = "snapshot"
	purposeLearned  = "learned"
)

// rejectUnauthenticated rejects a request that is not signed with the fleet key. Only
// the first one is logged.
func (x *Exchange) rejectUnauthenticated(w http.ResponseWriter, r *http.Request) {
	x.unauthenticated.Add(1)
	if x.unauthenticated.Load() == 1 {
		x.Logger.Warn(event.UnauthenticatedMessage, zap.String("address", r.RemoteAddr))
	}
	w.WriteHeader(http.StatusUnauthorized)
}
