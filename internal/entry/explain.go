package entry

import (
	"encoding/json"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gateway"
)

// serveExplain responds with where a request would go now. The parameters host and path are those of
// the request, and so are all headers.
func (i *Instance) serveExplain(w http.ResponseWriter, r *http.Request) {
	asked := r.Clone(r.Context())
	asked.Host, asked.URL.Path = r.FormValue("host"), r.FormValue("path")
	explanation, err := i.handler.Explain(asked)
	status := http.StatusOK
	switch {
	case errors.Is(err, gateway.ErrUnknownRoute):
		status = http.StatusNotFound
	case errors.Is(err, gateway.ErrUnknownKey):
		status = http.StatusUnauthorized
	case err != nil:
		status = http.StatusServiceUnavailable
	}
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(explanation); err != nil {
		i.logger.Info(event.InvalidData, zap.Error(err))
	}
}
