package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/maintenance"
)

const mostForm = 64 << 10

// Pages shows the fleet on the operators' listener, and takes their calls: GET /fleet, POST /fleet/VERB with by and why.
// A call that can't be settled is answered with a line that begins with NO, and changes nothing.
func (a *Agent) Pages(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) {
		s, err := a.Status()
		if err != nil {
			http.Error(w, "NO "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(s)
	})
	settled := func(page string, read func(*fleet.Plan) (any, error)) {
		mux.HandleFunc("GET /fleet/"+page, func(w http.ResponseWriter, _ *http.Request) {
			var v any
			var broken error
			err := a.call(func() {
				p := a.node.Plan()
				v, broken = read(&p)
			})
			if err = errors.Join(err, broken); err != nil {
				http.Error(w, "NO "+err.Error(), http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v)
		})
	}
	settled("zones", func(p *fleet.Plan) (any, error) {
		v := evacuation.Statuses{}
		_, err := p.Section(evacuation.Section, &v)
		return v, err
	})
	settled("work", func(p *fleet.Plan) (any, error) { return maintenance.Read(p) })
	mux.HandleFunc("GET /fleet/servers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.machines())
	})
	said := func(f url.Values) ([]byte, error) { return fleet.EncodeNote(f.Get("by"), f.Get("why")), nil }
	ofZone := func(f url.Values) ([]byte, error) {
		c := evacuation.Command{By: f.Get("by"), Reason: f.Get("why"), Zone: f.Get("zone")}
		var err error
		if s := f.Get("for_ms"); s != "" {
			if c.ForMS, err = strconv.ParseInt(s, 10, 64); err != nil {
				return nil, fmt.Errorf("for_ms: %w", err)
			}
		}
		if s := f.Get("hold"); s != "" {
			if c.Hold, err = strconv.ParseBool(s); err != nil {
				return nil, fmt.Errorf("hold: %w", err)
			}
		}
		return c.Encode(), nil
	}
	verbs := map[string]func(url.Values) ([]byte, error){"freeze": said, "thaw": said, "leave": ofZone, "return": ofZone}
	for verb := range maintenance.Commands() {
		verbs[verb] = ofWork
	}
	for verb, read := range verbs {
		mux.HandleFunc("POST /fleet/"+verb, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, mostForm)
			err := r.ParseForm()
			var args []byte
			if err == nil {
				args, err = read(r.PostForm)
			}
			if err != nil {
				http.Error(w, "NO "+err.Error(), http.StatusBadRequest)
				return
			}
			a.settle(w, r, verb, args)
		})
	}
}

// ofWork reads a call about work on machines.
func ofWork(f url.Values) ([]byte, error) {
	c := maintenance.Command{By: f.Get("by"), Reason: f.Get("why"), Key: f.Get("key"), Kind: maintenance.Kind(f.Get("kind")), Machines: f["machine"]}
	for key, to := range map[string]*int64{"for_ms": &c.ForMS, "not_before": &c.NotBefore} {
		if text := f.Get(key); text != "" {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", key, err)
			}
			*to = n
		}
	}
	for key, to := range map[string]*uint64{"id": &c.ID, "after": &c.After} {
		if text := f.Get(key); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", key, err)
			}
			*to = n
		}
	}
	return c.Encode(), nil
}

// settle has something settled and answers with YES and the epoch, or NO and why.
func (a *Agent) settle(w http.ResponseWriter, r *http.Request, verb string, args []byte) {
	epoch, err := a.Submit(r.Context(), verb, args)
	switch {
	case err == nil:
		fmt.Fprintf(w, "YES %v\n", epoch)
	case errors.Is(err, fleet.ErrNoQuorum), errors.Is(err, fleet.ErrBusy), errors.Is(err, ErrEnded):
		http.Error(w, "NO "+err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, "NO "+err.Error(), http.StatusConflict)
	}
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("dewhitch_fleet_"+name, help, labels, nil)
}

var (
	members  = desc("members", "Members as gossip has them.", "state")
	quorum   = desc("fresh", "1 if a leader with a quorum confirmed the plan within the lease.")
	founding = desc("epoch_founding", "The founding of the plan's epoch.")
	epoch    = desc("epoch_number", "The plan's epoch within its founding.")
	waiting  = desc("unacknowledged", "Living members that have not acknowledged the plan.")
	passed   = desc("passed_over_total", "Messages and reports that could not be used.")
	sent     = desc("sent_bytes_total", "Bytes sent to other members.")
	halted   = desc("folder_halted", "1 if the folder can't be written to.")
)

// Describe implements prometheus.Collector.
func (a *Agent) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{members, quorum, founding, epoch, waiting, passed, sent, halted} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (a *Agent) Collect(ch chan<- prometheus.Metric) {
	s, err := a.Status()
	if err != nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	flag := func(d *prometheus.Desc, on bool) {
		v := 0.0
		if on {
			v = 1
		}
		gauge(d, v)
	}
	states := map[string]float64{"alive": 0, "suspect": 0, "gone": 0, "left": 0}
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, n := range states {
		gauge(members, n, state)
	}
	flag(quorum, s.Quorum)
	flag(halted, s.Folder == "halted")
	gauge(founding, float64(s.Epoch.Generation))
	gauge(epoch, float64(s.Epoch.Index))
	gauge(waiting, float64(len(s.Unacknowledged)))
	ch <- prometheus.MustNewConstMetric(passed, prometheus.CounterValue, float64(s.PassedOver))
	ch <- prometheus.MustNewConstMetric(sent, prometheus.CounterValue, float64(a.gossip.Sent()))
}
