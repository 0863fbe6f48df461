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

// ask sends a signed question to another instance and decodes its signed answer.
func (x *Exchange) ask(ctx context.Context, address, path, use string, question, answer any) error {
	data, err := json.Marshal(question)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	signature := x.Key.sign(use, data)
	req.Header.Set(headerSignature, signature)
	resp, err := x.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peer: %s answered with status %d", address, resp.StatusCode)
	}
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err != nil {
		return err
	}
	if !x.Key.verify(useAnswer+signature, data, resp.Header.Get(headerSignature)) {
		return fmt.Errorf("peer: the answer of %s is not signed by the fleet", address)
	}
	return json.Unmarshal(data, answer)
}

// open reads a question and checks that the fleet has signed it. It answers what cannot
// be read and who is not known, and returns false then.
func (x *Exchange) open(w http.ResponseWriter, r *http.Request, use string, question any) (signature string, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	signature = r.Header.Get(headerSignature)
	if !x.Key.verify(use, body, signature) {
		x.unknown(w, r)
		return "", false
	}
	if err := json.Unmarshal(body, question); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	return signature, true
}

// reply answers a question and reports whether the answer was written.
func (x *Exchange) reply(w http.ResponseWriter, signature string, answer any) bool {
	data, err := json.Marshal(answer)
	if err != nil {
		x.Logger.Error(event.Odd, zap.Error(err))
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	w.Header().Set(headerSignature, x.Key.sign(useAnswer+signature, data))
	_, err = w.Write(data)
	return err == nil
}
