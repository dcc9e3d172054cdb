package cmd_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/cmd/graniteknot/cmd"
	"graniteknot.org/go/internal/core/app"
	"graniteknot.org/go/internal/core/dev"
	"graniteknot.org/go/internal/core/load"
	"graniteknot.org/go/internal/standin/logstore"
)

var update = flag.Bool("update", false, "write the golden sessions anew")

// TestSessions plays whole sessions against a cluster on loopback, in this
// process. The scripts' commands write a file that is compared with the one in
// the script.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			s, err := newSession()
			if err != nil {
				return err
			}
			e.Defer(s.cluster.Kill)
			e.Values[sessionKey{}] = s
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"call": call, "addresses": addresses, "gk": gk, "stopentry": stopEntry, "killentry": killEntry, "log": switchLog, "keyfile": keyFile,
		},
	})
}

type sessionKey struct{}

// session is one script's cluster.
type session struct {
	cluster *dev.Cluster
	// names replaces what differs from run to run.
	names *strings.Replacer
	// prefix begins keys that name their authority.
	prefix string
}

func newSession() (*session, error) {
	ctx := context.Background()
	c, err := dev.NewCluster(ctx, dev.Options{})
	if err != nil {
		return nil, err
	}
	if err := c.Start(ctx); err != nil {
		return nil, err
	}
	if err := settle(c); err != nil {
		return nil, err
	}
	var pairs []string
	for _, p := range c.Processes() {
		pairs = append(pairs, string(p.Config.Listen), "<"+string(p.Config.Box)+">")
	}
	pairs = append(pairs, string(c.LogAddress()), "<log>")
	return &session{cluster: c, names: strings.NewReplacer(pairs...)}, nil
}

// settle waits until every process knows every other.
func settle(c *dev.Cluster) error {
	all := c.Processes()
	for range 400 {
		if !slices.ContainsFunc(all, func(p *app.Process) bool { return p.Node.Members.Len() < len(all)-1 }) {
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return errors.New("the processes do not find each other")
}

var (
	durations = regexp.MustCompile(`after [0-9.]+(ms|µs|s)\b`)
	ids       = regexp.MustCompile(`"id":"[0-9a-f]{24}"`)
	marks     = regexp.MustCompile(`\b(herbarium|communications)-[0-9a-f]{16,}\b`)
)

// plainText takes out what differs from run to run.
func (s *session) plainText(text string) string {
	text = s.names.Replace(text)
	text = ids.ReplaceAllString(text, `"id":"ID"`)
	text = marks.ReplaceAllString(text, "$1-ID")
	return text
}

func of(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

func write(ts *testscript.TestScript, file, text string) {
	ts.Check(os.WriteFile(ts.MkAbs(file), []byte(of(ts).plainText(text)), 0o600))
}

func (s *session) entry(n int) *app.Process { return s.cluster.Partners[0].Entries[n] }

// call FILE ENTRY METHOD PATH [-H header]... [-d body] writes the answer's
// status, outcome, Retry-After and body.
func call(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	body, headers := "", []string{}
	for i := 4; i+1 < len(args); i += 2 {
		if args[i] == "-d" {
			body = args[i+1]
		} else {
			headers = append(headers, args[i+1])
		}
	}
	if strings.HasPrefix(body, "bytes:") {
		size, err := strconv.Atoi(strings.TrimPrefix(body, "bytes:"))
		ts.Check(err)
		body = strings.Repeat("x", size)
	}
	request, err := http.NewRequest(args[2], "http://"+string(s.entry(n).Config.Listen)+args[3], strings.NewReader(body))
	ts.Check(err)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		value = strings.Replace(value, "PREFIX", s.keyPrefix(ts), 1)
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	ts.Check(err)
	out := fmt.Sprintf("%d\n", response.StatusCode)
	for _, name := range []string{"Graniteknot-Outcome", "Retry-After"} {
		if v := response.Header.Get(name); v != "" {
			out += name + ": " + v + "\n"
		}
	}
	if v := response.Trailer.Get("Graniteknot-Outcome"); v != "" {
		out += "trailer Graniteknot-Outcome: " + v + "\n"
	}
	write(ts, args[0], out+strings.TrimRight(text.String(), "\n")+"\n")
}

// keyPrefix asks once for the beginning of the session's keys.
func (s *session) keyPrefix(ts *testscript.TestScript) string {
	if s.prefix != "" {
		return s.prefix
	}
	p := s.cluster.Partners[0]
	caller := &load.Caller{EntryAddresses: []graniteknot.Address{s.entry(0).Config.Listen}, Key: p.Keys[0], HTTP: http.DefaultClient}
	key, err := caller.NewIdempotencyKey(context.Background(), p.PlainOf)
	ts.Check(err)
	s.prefix, _, _ = strings.Cut(key, ".")
	s.prefix += "."
	return s.prefix
}

// addresses FILE ENTRY KEY SERVICE writes what does not differ from run to run
// of an address answer.
func addresses(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	var out bytes.Buffer
	code := cmd.Run([]string{
		"addresses", "--entry", string(s.entry(n).Config.Listen), "--key", args[2], "--service", args[3],
	}, &out, &out)
	var answer struct {
		Addresses []struct {
			Address string `json:"address"`
			Zone    string `json:"availability_zone"`
		} `json:"addresses"`
		ValidForSeconds int    `json:"valid_for_seconds"`
		KeyPrefix       string `json:"key_prefix"`
	}
	ts.Check(json.Unmarshal(out.Bytes(), &answer))
	var boxes []string
	for _, a := range answer.Addresses {
		boxes = append(boxes, s.plainText(a.Address)+" "+a.Zone)
	}
	first := answer.Addresses[0].Zone
	slices.Sort(boxes)
	write(ts, args[0], fmt.Sprintf("exit %d\nnearest %s\n%s\nvalid for %d s, key prefix %v\n", code, first,
		strings.Join(boxes, "\n"), answer.ValidForSeconds, strings.HasPrefix(answer.KeyPrefix, "gk1-")))
}

// gk FILE ARGS... runs the command line. LOG, TRUST and ENTRY stand for the
// cluster's.
func gk(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	var list []string
	for _, a := range args[1:] {
		switch a {
		case "LOG":
			list = append(list, "--log", string(s.cluster.LogAddress()))
		case "TRUST":
			for _, p := range s.cluster.Partners {
				list = append(list, "--trust", string(p.Name)+"="+hex.EncodeToString(p.Public))
			}
		case "WAIT":
			list = append(list, "--wait", string(s.entry(1).Config.Listen))
		default:
			if _, err := os.Stat(ts.MkAbs(a)); err == nil {
				a = ts.MkAbs(a)
			}
			list = append(list, a)
		}
	}
	var out bytes.Buffer
	code := cmd.Run(list, &out, &out)
	text := strings.ReplaceAll(out.String(), ts.MkAbs("")+string(os.PathSeparator), "")
	text = durations.ReplaceAllString(text, "after TIME")
	write(ts, args[0], fmt.Sprintf("%sexit %d\n", text, code))
}

// keyfile FILE N writes a partner's private key.
func keyFile(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	seed := of(ts).cluster.Partners[n].Private.Seed()
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(hex.EncodeToString(seed)), 0o600))
}

// stopentry FILE ENTRY stops an entry in a planned way while a stream is under way
// at it, and writes whether the stream came whole.
func stopEntry(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	p := s.entry(n)
	body := `{"model":"label-reading","prompt":"a long sheet","max_tokens":200,"stream":true}`
	request, err := http.NewRequest(http.MethodPost, "http://"+string(p.Config.Listen)+"/v1/completions", strings.NewReader(body))
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+s.cluster.Partners[0].Keys[0])
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ts.Check(p.Stop(ctx))
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	ts.Check(err)
	write(ts, args[0], fmt.Sprintf("stream whole %v, %d tokens\ntrailer Graniteknot-Outcome: %s\n",
		strings.HasSuffix(text.String(), "data: [DONE]\n\n"), strings.Count(text.String(), `"text"`),
		response.Trailer.Get("Graniteknot-Outcome")))
}

// killentry ENTRY ends an entry as a crash would.
func killEntry(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	of(ts).entry(n).Kill()
}

// log up|down|lose switches the log.
func switchLog(ts *testscript.TestScript, _ bool, args []string) {
	f := logstore.Faults{}
	switch args[0] {
	case "down":
		f.Down = true
	case "lose":
		f.LoseAnswers = 1
	}
	of(ts).cluster.Log.Set(f)
}
