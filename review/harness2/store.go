package harness2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeReadTime and storeWriteTime are how long the store takes for a call.
	storeReadTime  = 4 * time.Millisecond
	storeWriteTime = 8 * time.Millisecond
	// maxPageRows is the number of rows of one answer.
	maxPageRows = 500
)

// row is a row of the platform's store in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is a stand-in for the platform's store, without limits on calls.
type Store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	changed chan struct{}
	// down is true during an outage, and upSince is when the last one ended.
	down     bool
	upSince  time.Time
	history  []row
	revision uint64
	rows     map[string]row
}

// startStore starts a store on a free port.
func startStore() *Store {
	s := &Store{began: time.Now(), changed: make(chan struct{}), revision: 100, rows: map[string]row{}}
	listener, err := net.Listen("tcp", loopback+":0")
	check(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /nutmegpier/rows-get", s.get)
	mux.HandleFunc("GET /nutmegpier/rows-feed", s.feed)
	mux.HandleFunc("POST /nutmegpier/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

// SetDown begins or ends an outage, in which all calls are refused.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.upSince = down, time.Now()
	s.wake()
}

// outage reports whether the store is down, and how long ago the last outage ended.
func (s *Store) outage() (down bool, upFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, time.Since(s.upSince)
}

// refused refuses a call during an outage, and reports whether it did. The caller holds mu.
func (s *Store) refused(w http.ResponseWriter) bool {
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

// put writes or, with a nil value, removes a row as the operator and the servers do.
func (s *Store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(row{Table: table, Key: key, Value: encoded, Ver: s.revision, Deleted: value == nil})
	s.wake()
}

// apply stores a row. The caller holds mu.
func (s *Store) apply(r row) {
	if r.Deleted {
		r.Value = nil
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

// wake wakes the calls that wait for changes. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes an answer about rows. The caller holds mu.
func (s *Store) answer(w http.ResponseWriter, status int, rows []row, hasMore bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": hasMore, "ver": s.revision, "now_ms": time.Since(s.began).Milliseconds()})
}

// get serves rows-get.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused(w) {
		return
	}
	rows := []row{}
	for _, candidate := range s.rows {
		if candidate.Table == query.Get("table") && candidate.Part == query.Get("part") && candidate.Key >= query.Get("from") &&
			(query.Get("target") == "" || candidate.Key < query.Get("target")) {
			rows = append(rows, candidate)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	hasMore := len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, hasMore)
}

// feed serves rows-feed.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for ended := wait == 0; ; {
		s.mu.Lock()
		if s.refused(w) {
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			if s.history[i].Table == query.Get("table") {
				rows = append(rows, s.history[i])
			}
		}
		if len(rows) > 0 || ended {
			for i, j := 0, len(rows)-1; i < j; i, j = i+1, j-1 {
				rows[i], rows[j] = rows[j], rows[i]
			}
			s.answer(w, http.StatusOK, rows, false)
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

// transact serves rows-tx.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		Conditions []row `json:"expected_rev"`
		Writes     []row `json:"writes"`
		Remove     []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeWriteTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused(w) {
		return
	}
	current, holds := []row{}, true
	for _, condition := range transaction.Conditions {
		known, found := s.rows[condition.id()]
		if found {
			current = append(current, known)
		}
		holds = holds && known.Ver == condition.Ver
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, false)
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
	s.wake()
	s.answer(w, http.StatusOK, nil, false)
}
