package opensearch

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/opensearch-project/opensearch-go/v4"
	"github.com/opensearch-project/opensearch-go/v4/opensearchapi"
)

// The client library that users of the form have, as it comes from the registry: its first questions, a
// search, pages and a bulk of searches.
func TestClientLibrary(t *testing.T) {
	r := &router{
		whole: true,
		shard: func(text string, s int) string { return shardOf(s, float64(9-s), float64(5-s), 1) },
	}
	client, err := opensearchapi.NewClient(
		opensearchapi.Config{Client: opensearch.Config{Addresses: []string{"http://router"},
			Header: http.Header{"X-Customer": {"acme"}}, Transport: handler{front(r)}}},
	)
	must(t, err)
	defer client.Close()
	ctx := context.Background()
	info, err := client.Info(ctx, nil)
	must(t, err)
	if info.Version.Distribution != "opensearch" {
		t.Errorf("it is told %+v", info)
	}
	health, err := client.Cluster.Health(ctx, nil)
	must(t, err)
	if health.Status != "yellow" {
		t.Errorf("health %s", health.Status)
	}
	found, err := client.Search(
		ctx,
		&opensearchapi.SearchReq{
			Indices: []string{"docs"},
			Body:    strings.NewReader(`{"size":4,"query":{"match_all":{}}}`),
		},
	)
	must(t, err)
	if found.Hits.Total.Value != 9 || len(found.Hits.Hits) != 4 || found.Hits.Hits[0].ID != "0-0" ||
		found.Shards.Successful != 3 {
		t.Errorf("found %+v", found.Hits)
	}
	size := 4
	next, err := client.Search(
		ctx,
		&opensearchapi.SearchReq{
			Indices: []string{"docs"},
			Params:  opensearchapi.SearchParams{From: &size, Size: &size},
		},
	)
	must(t, err)
	if len(next.Hits.Hits) != 4 || next.Hits.Hits[0].ID == found.Hits.Hits[3].ID {
		t.Errorf("the second page is %+v", next.Hits.Hits)
	}
	bulk, err := client.MSearch(
		ctx,
		opensearchapi.MSearchReq{
			Body: strings.NewReader("{\"index\":\"docs\"}\n{\"size\":1}\n{\"index\":\"one\"}\n{}\n"),
		},
	)
	must(t, err)
	if len(bulk.Responses) != 2 || bulk.Responses[0].Hits.Total.Value != 9 ||
		bulk.Responses[1].Hits.Total.Value != 3 {
		t.Errorf("bulk %+v", bulk.Responses)
	}
	count, err := client.Indices.Count(ctx, &opensearchapi.IndicesCountReq{Indices: []string{"docs"}})
	must(t, err)
	if count.Count != 9 {
		t.Errorf("count %d", count.Count)
	}
	if _, err := client.Search(ctx, &opensearchapi.SearchReq{Indices: []string{"nobody"}}); err == nil ||
		!strings.Contains(err.Error(), "index_not_found_exception") {
		t.Errorf("an unknown index: %v", err)
	}
}
