package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
)

// postSigned sends a signed request to another instance and decodes its signed
// response into reply.
func (x *Exchange) postSigned(ctx context.Context, address, path, purpose string, payload, reply any) error {
	data, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	signature := x.Key.sign(purpose, data)
	req.Header.Set(HeaderSignature, signature)
	resp, err := x.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peer: %s responded with status %d", address, resp.StatusCode)
	}
	data, err = readMessage(resp.Body, resp.ContentLength)
	if err != nil {
		return err
	}
	if !x.Key.verify(purposeResponse+signature, data, resp.Header.Get(HeaderSignature)) {
		return fmt.Errorf("peer: the response of %s is not signed with the fleet key", address)
	}
	return json.Unmarshal(data, reply)
}

// maxKnownBytes is up to which stated length memory is taken before the bytes have come: whoever reaches
// the port may state any.
const maxKnownBytes = 16 << 10

// readMessage reads a body of at most maxMessageBytes, whose length is negative if it is not known.
func readMessage(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxKnownBytes {
		return io.ReadAll(io.LimitReader(body, maxMessageBytes))
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}

// readSigned reads the body of a request, verifies that it is signed with the fleet
// key and decodes it into payload. If the body is unreadable or the sender is not
// authenticated, it writes the error response and returns false.
func (x *Exchange) readSigned(w http.ResponseWriter, r *http.Request, purpose string, payload any) (signature string, ok bool) {
	body, err := readMessage(r.Body, r.ContentLength)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	signature = r.Header.Get(HeaderSignature)
	if !x.Key.verify(purpose, body, signature) {
		x.rejectUnauthenticated(w, r)
		return "", false
	}
	if err := json.Unmarshal(body, payload); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	return signature, true
}

// writeSigned writes the signed response to a request with the given signature and
// reports whether the response was written.
func (x *Exchange) writeSigned(w http.ResponseWriter, signature string, reply any) bool {
	data, err := json.Marshal(reply)
	if err != nil {
		x.Logger.Error(event.InvalidData, zap.Error(err))
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	w.Header().Set(HeaderSignature, x.Key.sign(purposeResponse+signature, data))
	_, err = w.Write(data)
	return err == nil
}
