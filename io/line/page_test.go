package line_test

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
	"testing"

	"chervilreach/core/event"
	"chervilreach/io/line"

	"github.com/stretchr/testify/require"
)

// pageData is the part of the page's data that the tests check.
type pageData struct {
	Lanes []line.Lane `json:"lanes"`
	Lines []struct {
		Lane    int             `json:"lane"`
		Stamp   string          `json:"stamp"`
		Request string          `json:"request"`
		Body    json.RawMessage `json:"body"`
	} `json:"lines"`
}

func writePage(t *testing.T, p line.Page) string {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, line.WritePage(&out, p))
	return out.String()
}

func readData(t *testing.T, page string) pageData {
	t.Helper()
	found := regexp.MustCompile(`(?s)<script id="data" type="application/json">(.*?)</script>`).FindStringSubmatch(page)
	require.NotNil(t, found)
	var data pageData
	require.NoError(t, json.Unmarshal([]byte(found[1]), &data))
	return data
}

// TestWritePage checks the data in the page. Text in the body of a line must not be able to end
// the script element that contains the data.
func TestWritePage(t *testing.T) {
	hostile := `{"request":"</script><script>alert(1)</script>"}`
	page := writePage(t, line.Page{
		CreatedAt: start,
		Lanes:     []line.Lane{{Name: "silent", Error: "<b>no answer"}, {Name: "a"}},
		Lines: []event.Line{
			{Stamp: 1 << 62, Process: "a", Kind: "x", Subject: event.Subject{Request: "r-1"}, Body: json.RawMessage(hostile)},
			{Stamp: 1<<62 + 1, Process: "b", Kind: "x", Effect: true, Body: json.RawMessage(`null`)},
		},
	})
	data := readData(t, page)
	require.Equal(t, []line.Lane{{Name: "silent", Error: "<b>no answer"}, {Name: "a"}, {Name: "b"}}, data.Lanes)
	require.Len(t, data.Lines, 2)
	require.Equal(t, "r-1", data.Lines[0].Request)
	require.Equal(t, 1, data.Lines[0].Lane)
	require.Equal(t, 2, data.Lines[1].Lane)
	require.Equal(t, "4611686018427387905", data.Lines[1].Stamp)
	require.JSONEq(t, hostile, string(data.Lines[0].Body))
	require.NotContains(t, page, "alert(1)</script>")
}

// TestWritePageSelfContained checks that the page refers to nothing outside itself.
func TestWritePageSelfContained(t *testing.T) {
	page := writePage(t, line.Page{CreatedAt: start})
	for _, outside := range []string{" src=", " href=", "url(", "@import", "fetch(", "import(", "XMLHttpRequest", "://"} {
		require.NotContains(t, page, outside)
	}
	for _, id := range regexp.MustCompile(`getElementById\("([a-z-]+)"\)`).FindAllStringSubmatch(page, -1) {
		require.Contains(t, page, `id="`+id[1]+`"`)
	}
	require.Equal(t, strings.Count(page, "<script"), strings.Count(page, "</script>"))
	require.Equal(t, 4, strings.Count(page, "<script"))
}

// TestWriteText checks the text for humans, with a shortened value, a quoted one, and the
// separator before lines that may lack their causes.
func TestWriteText(t *testing.T) {
	long := strings.Repeat("x", 60)
	at := func(ms int64) event.Stamp { return event.Stamp(start.UnixMilli()+ms) << 16 }
	var out bytes.Buffer
	require.NoError(t, line.WriteText(&out, []event.Line{
		{Stamp: at(0), Process: "router-1", Kind: "arrived", Body: json.RawMessage(`{"request":"r-1","target":{"model":"m"}}`)},
		{Stamp: at(1), Process: "a", Kind: "note", Effect: true, Body: json.RawMessage(`{"change":"` + long + `","detail":"two words","n":[1,2]}`)},
		{Stamp: at(2), Process: "a", Kind: "tick", Body: json.RawMessage(`{}`)},
	}, at(1)))
	require.Equal(t, strings.Join([]string{
		"2023-11-14 (UTC)",
		"22:13:20.000  router-1  event   arrived  request=r-1 target.model=m",
		"22:13:20.001  a         effect  note     change=" + long[:48] + `… detail="two words" n=1 n=2`,
		"---- some processes were read before what follows ----",
		"22:13:20.002  a         event   tick",
		"",
	}, "\n"), out.String())
}
