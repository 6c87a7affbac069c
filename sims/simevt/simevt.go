// Package simevt draws the answers of broken engines from a grammar: streams of events of which one
// is wrong, and how they go on and end. All of them begin like a good answer.
package simevt

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// The ways in which an answer ends.
const (
	// Break resets the connection.
	Break End = iota
	// Close ends the answer like a complete one.
	Close
	// Endless repeats Fill until the client closes the connection.
	Endless
)

const (
	// Foreign is in the data of each event that doesn't belong to the output.
	Foreign = "foreign"
	// VersionField is the field of an event that has the weight version.
	VersionField = "weight-versions"
)

type (
	// End is how an answer ends.
	End int

	// Answer is an answer of a broken engine.
	Answer struct {
		// Parts are the pieces in which it is sent, an event or less each.
		Parts []string
		// Sound is the number of events before the wrong one.
		Sound int
		End   End
		// Fill returns the nth piece of what is sent without an end.
		Fill func(n int) string
	}
)

// Event returns an event as a sound engine sends it.
func Event(id int64, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// Draw draws a broken answer in place of the events with the IDs from to last, of which data has the
// data. With isStart the first of them is the first of its stream.
func Draw(rng *rand.Rand, from, last int64, isStart bool, data func(id int64) string) Answer {
	a := Answer{Sound: rng.IntN(int(last - from + 1)), End: End(rng.IntN(int(Endless) + 1))}
	if rng.IntN(2) == 0 {
		a.Sound = 0
	}
	due := from + int64(a.Sound)
	for id := from; id < due; id++ {
		a.Parts = append(a.Parts, Vary(rng, id, data(id)))
	}
	if rng.IntN(8) == 0 {
		// What follows such a piece could make it a valid event.
		id := fmt.Sprintf("id: %d\n", due)
		pieces := []string{id, id + "da", id + "data: " + Foreign + "\n", id + "data: " + Foreign + "\r\n: comment\n"}
		a.Parts, a.End = append(a.Parts, pieces[rng.IntN(len(pieces))]), End(rng.IntN(int(Endless)))
		return a
	}
	wrong := Wrong(due, isStart && a.Sound == 0)
	a.Parts = append(a.Parts, wrong[rng.IntN(len(wrong))])
	if rng.IntN(2) == 0 { // goes on as if nothing had happened
		for id := due; id <= last; id++ {
			a.Parts = append(a.Parts, Event(id, data(id)))
		}
	}
	isNumbered := rng.IntN(2) == 0
	a.Fill = func(n int) string {
		if isNumbered {
			return Event(last+1+int64(n), Foreign)
		}
		return "data: " + Foreign + "\n\n"
	}
	return a
}

// Overrun returns the answer of an engine that doesn't end: after the events with the IDs from to last,
// of which data has the data, it goes on with foreign ones, each of which is valid.
func Overrun(from, last int64, data func(id int64) string) Answer {
	a := Answer{End: Endless, Fill: func(n int) string { return Event(last+1+int64(n), Foreign) }}
	for id := from; id <= last; id++ {
		a.Parts = append(a.Parts, Event(id, data(id)))
	}
	return a
}

// Vary writes a sound event in one of the ways that the format allows.
func Vary(rng *rand.Rand, id int64, data string) string {
	fields := []string{fmt.Sprintf("id:%s%d", strings.Repeat(" ", rng.IntN(2)), id), "data:" + " " + data}
	for _, other := range []string{": comment", "event: token", "retry: 10", "unknown", "unknown: field"} {
		if rng.IntN(6) == 0 {
			fields = append(fields, other)
		}
	}
	rng.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	feed := "\n"
	if rng.IntN(3) == 0 {
		feed = "\r\n"
	}
	before := ""
	if rng.IntN(6) == 0 {
		before = ": comment" + feed + feed
	}
	return before + strings.Join(fields, feed) + feed + feed
}

// Wrong returns events of which none is valid where the one with the ID due is.
func Wrong(due int64, isStart bool) []string {
	const data = "data: " + Foreign + "\n"
	var out []string
	ids := []string{"", " ", "x", "-1", "-0", "+1", "0x1", "1e0", "1.0", "01", " 1", "1 ", "1,2", "null", "9223372036854775808", fmt.Sprint(math.MinInt64)}
	for _, other := range []int64{0, 1, 2, due - 1, due + 1, due + 1000, math.MaxInt64} {
		if other >= 0 && other != due && (!isStart || other > 1) {
			ids = append(ids, fmt.Sprint(other))
		}
	}
	for _, id := range ids {
		out = append(out, "id: "+id+"\n"+data+"\n", data+"id: "+id+"\r\n\r\n")
	}
	id := fmt.Sprintf("id: %d\n", due)
	out = append(out, data+"\n", "id\n"+data+"\n", "ID: 0\n"+data+"\n", "event: error\n"+data+"\n",
		id+id+data+"\n", id+"id: 5\n"+data+"\n", "id: x\n"+id+data+"\n", id+"\n", id+"event: error\n\n",
		id+"data: "+Foreign+"\rdata: x\n\n", id+data+"\r\r\n\n")
	for _, v := range []string{"", "0", "-1", "x", "1.5", "9223372036854775808", "1\n" + VersionField + ": 1"} {
		out = append(out, VersionField+": "+v+"\n"+id+data+"\n")
	}
	return append(out, VersionField+": 1\n\n")
}

// Token returns an event of the product's own engine protocol: a token of text.
func Token(text string) string { return fmt.Sprintf("data: {\"text\":%q,\"tokens\":1}\n\n", text) }

// WrongTokens returns events of that protocol of which none is valid.
func WrongTokens() []string {
	var out []string
	for _, body := range []string{
		"", "null", "[]", "1", Foreign, `{"text":"foreign"`, `{"text":"foreign"}`, `{}`, `{"text":"foreign","tokens":0}`,
		`{"text":"foreign","tokens":-1}`, `{"text":"foreign","tokens":"1"}`, `{"text":"foreign","tokens":1.5}`, `{"text":1,"tokens":1}`,
		`{"text":"foreign","tokens":null}`, `{"text":"a","text":"foreign","tokens":1}`, `{"text":"a","Text":"foreign","tokens":1}`,
		`{"text":"foreign","tokens":1,"tokens":1}`, `{"text":"foreign","tokens":9223372036854775808}`, `{"text":"foreign","tokens":1}{}`,
		`{"text":"foreign","tokens":1,"total":1}`, `{"text":"foreign","tokens":1,"finish":"stop"}`, `{"text":"foreign","tokens":1,"done":true,"total":1}`,
		`{"done":true,"total":-1}`, `{"done":true,"total":"1"}`, `{"done":1}`, `{"done":true,"text":"foreign"}`, "{\"text\":\"foreign\xff\",\"tokens\":1}",
	} {
		out = append(out, "data: "+body+"\n\n", "data:"+body+"\r\n\r\n")
	}
	return out
}
