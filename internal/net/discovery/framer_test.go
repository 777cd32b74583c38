package discovery

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// One message each, in the layouts that discovery may use.
const (
	singleLine   = `{"version":2,"full":true,"servers":[{"id":"s-{\"[","addr":"127.0.0.1:1","state":"Ready"},{"id":"b"}]}`
	indented     = "{\n  \"version\": 2,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a\"\n    }\n  ]\n}"
	unindented   = "{\n\"version\":2,\n\"servers\":[\n{\n\"id\":\"a\"\n},\n{\"id\":\"b\"}\n]\n}"
	entryPerLine = "{\"version\":2,\"full\":true,\"servers\":[\r\n {\"id\":\"a\"},\r\n {\"id\":\"b\"}]}"
)

// splitMessages feeds a framer piece by piece and returns its messages, a dot for each keepalive, and the text of the error
// that ends them.
func splitMessages(pieces ...string) (got []string) {
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

// Messages on one line, indented over many, with keepalives between and in pieces of any size are split in the same way.
func TestFramerSplitsMessagesInAnyLayout(t *testing.T) {
	all := singleLine + "\n\n" + indented + "\n" + unindented + "\r\n\n" + entryPerLine + "\n"
	want := []string{singleLine, ".", ".", indented, ".", unindented, ".", ".", entryPerLine, "."}
	require.Equal(t, want, splitMessages(all))
	require.Equal(t, want, splitMessages(strings.Split(all, "")...))
	rapid.Check(t, func(t *rapid.T) {
		var pieces []string
		for rest := all; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		require.Equal(t, want, splitMessages(pieces...))
	})
}

// A truncated message must be detected before a message that follows is taken for part of it.
func TestFramerDetectsTruncation(t *testing.T) {
	for cut := 1; cut < len(singleLine); cut++ {
		got := splitMessages(singleLine[:cut] + "\n" + strings.Replace(singleLine, ":2,", ":3,", 1) + "\n")
		require.Len(t, got, 1, cut)
		require.Equal(t, errTruncated.Error(), got[0], singleLine[:cut])
	}
	for cut := 1; cut < len(indented); cut++ {
		got := splitMessages(indented[:cut] + "\n\n\n")
		require.Equal(t, []string{errTruncated.Error()}, got, indented[:cut])
	}
	require.Equal(t, []string{errNotObject.Error()}, splitMessages("]\n"))
	require.Equal(t, []string{singleLine, errNotObject.Error()}, splitMessages(singleLine+"x\n"))
}

func FuzzFramer(f *testing.F) {
	for _, seed := range []string{singleLine, indented, unindented, entryPerLine, "\n\n", "{\"a\n", "[{}"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		require.Equal(t, splitMessages(s), splitMessages(strings.SplitAfter(s, "")...))
	})
}
