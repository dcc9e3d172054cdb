package logstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/services"
)

// FaultsPath switches faults, with a JSON form of Faults.
const FaultsPath = "/faults"

const maxRecord = 16 << 20

// Handler serves the store over the platform's protocol.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(services.RecordsPath, s.serveAppend).Methods(http.MethodPost)
	r.HandleFunc(services.RecordsPath, s.serveRead).Methods(http.MethodGet)
	r.HandleFunc(FaultsPath, s.serveFaults).Methods(http.MethodPost)
	return r
}

func streamOf(r *http.Request) graniteknot.Stream { return graniteknot.Stream(mux.Vars(r)["stream"]) }

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, "the record is too large or cut off", http.StatusBadRequest)
		return
	}
	offset, err := s.Append(r.Context(), streamOf(r), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(services.Appended{Offset: offset})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.URL.Query().Get("limit"))
	if err1 != nil || err2 != nil || limit < 1 {
		http.Error(w, "expected from and limit, whole numbers", http.StatusBadRequest)
		return
	}
	page, err := s.Read(r.Context(), streamOf(r), graniteknot.Offset(from), limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer := services.Records{First: page.First, Next: page.Next}
	for _, record := range page.Records {
		answer.Records = append(answer.Records, services.Record(record))
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "expected JSON with down, slow (nanoseconds) and lose_answers", http.StatusBadRequest)
		return
	}
	s.Set(f)
}
