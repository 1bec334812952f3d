package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/maintenance"
)

const maxFormSize = 64 << 10 // limit in bytes on the body of a command

// Pages registers the fleet's pages on the operators' listener: GET /fleet, /fleet/zones, /fleet/work and
// /fleet/servers in JSON, and POST /fleet/COMMAND, with a form that has the fields by and why and the command's own
// fields. The answer to a command is the line YES EPOCH, or NO and the reason. After NO the command has changed
// nothing, except that with status 503 it may still take effect.
func (a *Agent) Pages(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet", a.statusPage)
	mux.HandleFunc("GET /fleet/zones", a.planPage(func(p *fleet.Plan) (any, error) { return zoneStatuses(p) }))
	mux.HandleFunc("GET /fleet/work", a.planPage(func(p *fleet.Plan) (any, error) { return maintenance.Read(p) }))
	mux.HandleFunc("GET /fleet/servers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.maintenanceServers())
	})
	for name, parse := range commandForms() {
		mux.HandleFunc("POST /fleet/"+name, a.commandPage(name, parse))
	}
}

func (a *Agent) statusPage(w http.ResponseWriter, _ *http.Request) {
	s, err := a.Status()
	if err != nil {
		answerNo(w, err, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(s)
}

// planPage returns a page that shows the part of the plan that read returns, in JSON.
func (a *Agent) planPage(read func(*fleet.Plan) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		var content any
		var readErr error
		err := a.call(func() {
			p := a.node.Plan()
			content, readErr = read(&p)
		})
		if err == nil {
			err = readErr
		}
		if err != nil {
			answerNo(w, err, http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(content)
	}
}

// commandPage returns a page that submits a command from a form.
func (a *Agent) commandPage(name string, parse formParser) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxFormSize)
		err := r.ParseForm()
		var args []byte
		if err == nil {
			args, err = parse(r.PostForm)
		}
		if err != nil {
			answerNo(w, err, http.StatusBadRequest)
			return
		}
		epoch, err := a.Submit(r.Context(), name, args)
		switch {
		case err == nil:
			fmt.Fprintf(w, "YES %v\n", epoch)
		case errors.Is(err, fleet.ErrNoQuorum), errors.Is(err, fleet.ErrBusy), errors.Is(err, ErrEnded):
			answerNo(w, err, http.StatusServiceUnavailable)
		default:
			answerNo(w, err, http.StatusConflict)
		}
	}
}

// answerNo answers a request with NO and the error.
func answerNo(w http.ResponseWriter, err error, status int) { http.Error(w, "NO "+err.Error(), status) }
