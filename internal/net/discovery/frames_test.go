package discovery

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	oneLine  = `{"version":2,"full":true,"servers":[{"id":"s-{\"[","addr":"127.0.0.1:1","state":"Ready"},{"id":"b"}]}`
	indented = "{\n  \"version\": 2,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a\"\n    }\n  ]\n}"
	noIndent = "{\n\"version\":2,\n\"servers\":[\n{\n\"id\":\"a\"\n},\n{\"id\":\"b\"}\n]\n}"
	rows     = "{\"version\":2,\"full\":true,\"servers\":[\r\n {\"id\":\"a\"},\r\n {\"id\":\"b\"}]}"
)

// read tells what is read of bytes that come in pieces: messages, a dot for a sign of life, the cause of an end.
func read(pieces ...string) (got []string) {
	var f framer
	for _, p := range pieces {
		f.feed([]byte(p))
		for {
			m, err := f.next()
			switch {
			case err != nil:
				return append(got, err.Error())
			case m == nil:
			case len(m) == 0:
				got = append(got, ".")
				continue
			default:
				got = append(got, string(m))
				continue
			}
			break
		}
	}
	return got
}

// Messages come on a line or indented over many, in any pieces, one behind the other and with signs of life between.
func TestMessagesHoweverTheyAreLaidOut(t *testing.T) {
	all := oneLine + "\n\n" + indented + "\n" + noIndent + "\r\n\n" + rows + "\n"
	want := []string{oneLine, ".", ".", indented, ".", noIndent, ".", ".", rows, "."}
	require.Equal(t, want, read(all))
	require.Equal(t, want, read(strings.Split(all, "")...))
	rapid.Check(t, func(t *rapid.T) {
		var pieces []string
		for rest := all; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		require.Equal(t, want, read(pieces...))
	})
}

// What was cut short is seen before the news behind it is taken for part of it.
func TestMessagesThatWereCutShort(t *testing.T) {
	for cut := 1; cut < len(oneLine); cut++ {
		got := read(oneLine[:cut] + "\n" + strings.Replace(oneLine, ":2,", ":3,", 1) + "\n")
		require.Len(t, got, 1, cut)
		require.Equal(t, errTruncated.Error(), got[0], oneLine[:cut])
	}
	for cut := 1; cut < len(indented); cut++ {
		got := read(indented[:cut] + "\n\n\n")
		require.Equal(t, []string{errTruncated.Error()}, got, indented[:cut])
	}
	require.Equal(t, []string{errNotObject.Error()}, read("]\n"))
	require.Equal(t, []string{oneLine, errNotObject.Error()}, read(oneLine+"x\n"))
}

func FuzzFrames(f *testing.F) {
	for _, seed := range []string{oneLine, indented, noIndent, rows, "\n\n", "{\"a\n", "[{}"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		require.Equal(t, read(s), read(strings.SplitAfter(s, "")...))
	})
}
