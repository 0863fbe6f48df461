package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
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
	// keyPause is the pause before the platform is asked for the key again.
	keyPause = 300 * time.Millisecond
	// keyTimeout bounds a call for the key.
	keyTimeout = 800 * time.Millisecond
	// headerSignature carries the signature of a message between instances.
	headerSignature = "Signature"
)

// Key is the secret by which instances know each other. The first instance draws it
// and keeps it on the platform, which only the fleet can read. Exported fields are
// set before Serve. It is safe for concurrent use.
type Key struct {
	Cell   fleet.Cell
	Logger *zap.Logger

	secret atomic.Pointer[[]byte]
}

// String names the service in the supervisor's events.
func (k *Key) String() string { return "key" }

// Serve implements suture.Service. It ends once the key is known.
func (k *Key) Serve(ctx context.Context) error {
	lost := false
	for ctx.Err() == nil {
		err := k.learn(ctx)
		if k.Known() {
			if lost {
				k.Logger.Info(event.Regained, zap.String("feed", "key"))
			}
			return suture.ErrDoNotRestart
		}
		if err != nil && !lost {
			lost = true
			k.Logger.Warn(event.Lost, zap.String("feed", "key"), zap.Error(err))
		}
		select {
		case <-time.After(keyPause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// learn reads the key, or writes one if there is none.
func (k *Key) learn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	value, err := k.Cell.Get(ctx)
	if err != nil {
		return err
	}
	if len(value) == 0 {
		fresh := make([]byte, keyBytes)
		_, _ = rand.Read(fresh) // never fails
		if err := k.Cell.Create(ctx, fresh); err != nil {
			return err
		}
		if value, err = k.Cell.Get(ctx); err != nil || len(value) == 0 {
			return err
		}
	}
	k.Set(value)
	return nil
}

// Set makes a key known.
func (k *Key) Set(value []byte) { k.secret.Store(&value) }

// Known reports whether the key is known.
func (k *Key) Known() bool { return k.secret.Load() != nil }

// sign returns the signature of a message. The context tells messages of different
// use apart.
func (k *Key) sign(use string, data []byte) string {
	secret := k.secret.Load()
	if secret == nil {
		return ""
	}
	mac := hmac.New(sha256.New, *secret)
	_, _ = mac.Write([]byte(use))
	_, _ = mac.Write([]byte{0})
	_, _ = mac.Write(data)
	return hex.EncodeToString(mac.Sum(nil))
}

// verify reports whether a signature is the fleet's.
func (k *Key) verify(use string, data []byte, signature string) bool {
	want := k.sign(use, data)
	return want != "" && hmac.Equal([]byte(want), []byte(signature))
}

// Uses of signatures.
const (
	useAsk      = "ask"
	useReserve  = "reserve"
	useAnswer   = "answer"
	useSnapshot = "snapshot"
)

// unknown answers a sender who does not know the key.
func (x *Exchange) unknown(w http.ResponseWriter, r *http.Request) {
	x.strangers.Add(1)
	if x.strangers.Load() == 1 {
		x.Logger.Warn(event.Stranger, zap.String("address", r.RemoteAddr))
	}
	w.WriteHeader(http.StatusUnauthorized)
}
