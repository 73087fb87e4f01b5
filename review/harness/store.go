package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// transactionTime is how long the store takes for a transaction.
const transactionTime = 4 * time.Millisecond

// row is a row of the store in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	address string
	started time.Time

	mu       sync.Mutex
	changed  chan struct{}
	history  []row
	revision uint64
	rows     map[string]row
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), changed: make(chan struct{}), rows: map[string]row{}, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /nutmegpier/rows-get", s.get)
	mux.HandleFunc("GET /nutmegpier/rows-feed", s.feed)
	mux.HandleFunc("POST /nutmegpier/rows-tx", s.transact)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put writes a row as operators and servers do, and returns the time at which the store
// has acknowledged it. A nil value deletes the row.
func (s *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(row{Deleted: value == nil, Key: key, Table: table, Value: encoded, Ver: s.revision})
	return time.Now()
}

// apply stores a row and wakes the pending feeds. The caller holds mu.
func (s *store) apply(r row) {
	if r.Deleted {
		r.Value = nil
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

// answer sends rows as of now. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(storeAnswer{NowMs: time.Since(s.started).Milliseconds(), Rows: rows, Ver: s.revision})
}

// get serves the rows of a partition in one page.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, candidate := range s.rows {
		if candidate.Table == query.Get("table") && candidate.Part == query.Get("part") && candidate.Key >= query.Get("from") {
			rows = append(rows, candidate)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows)
}

// feed serves a long poll for the changes of a table.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := wait == 0; ; {
		s.mu.Lock()
		var rows []row
		for _, change := range s.history {
			if change.Ver > after && change.Table == query.Get("table") {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || ended {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// transact applies a transaction if all of its conditions hold.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		Expected []row `json:"expected_rev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, condition := range transaction.Expected {
		known, found := s.rows[condition.id()]
		if found {
			current = append(current, known)
		}
		holds = holds && known.Ver == condition.Ver
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.revision++
	for _, written := range transaction.Writes {
		written.Ver = s.revision
		s.apply(written)
	}
	for _, removed := range transaction.Remove {
		removed.Deleted, removed.Ver = true, s.revision
		s.apply(removed)
	}
	s.answer(w, http.StatusOK, nil)
}
