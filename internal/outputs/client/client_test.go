package client

import (
	"slices"
	"strings"
	"testing"
)

func newTestClient(t *testing.T, token string, addrs ...string) *Client {
	t.Helper()
	c, err := New(addrs, token, "")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestNewMakesURLsOfAddresses(t *testing.T) {
	c := newTestClient(t, "", "10.0.0.7:8110", "http://a:1/", "https://b:2")
	if got, want := c.Addresses(), []string{"http://10.0.0.7:8110", "http://a:1", "https://b:2"}; !slices.Equal(got, want) {
		t.Errorf("addresses %v, want %v", got, want)
	}
}

func TestNewRefusesBadAddresses(t *testing.T) {
	tests := []struct {
		name, token string
		addrs       []string
		want        string
	}{
		{"none", "", nil, "no address of a store"},
		{"no port", "", []string{"10.0.0.7"}, "is no address of a store"},
		{"empty port", "", []string{"10.0.0.7:"}, "is no address of a store"},
		{"token without TLS", "secret", []string{"10.0.0.7:8110"}, "a token is not sent without TLS"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := New(test.addrs, test.token, ""); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

func TestPreferAddressesPutsThemFirst(t *testing.T) {
	c := newTestClient(t, "", "a:1", "b:1")
	c.useNextAddress()
	c.PreferAddresses([]string{"http://c:1", "http://b:1", "no-url"})
	if got, want := c.Addresses(), []string{"http://c:1", "http://b:1", "http://a:1"}; !slices.Equal(got, want) {
		t.Errorf("addresses %v, want %v", got, want)
	}
	if got := c.currentAddress(); got != "http://c:1" {
		t.Errorf("next address is %s, want the preferred one", got)
	}
}

func TestTokenIsNotSentToPreferredAddressWithoutTLS(t *testing.T) {
	c := newTestClient(t, "secret", "https://a:1")
	c.PreferAddresses([]string{"http://10.0.0.7:1", "http://127.0.0.1:1", "https://b:1"})
	if got, want := c.Addresses(), []string{"http://127.0.0.1:1", "https://b:1", "https://a:1"}; !slices.Equal(got, want) {
		t.Errorf("addresses %v, want %v", got, want)
	}
}

func TestParseTarget(t *testing.T) {
	job, err := ParseTarget("wk-000412")
	if err != nil || job.Job != "wk-000412" || job.Task != nil {
		t.Errorf("job: %+v, error %v", job, err)
	}
	task, err := ParseTarget("wk-000412/3")
	if err != nil || task.Job != "wk-000412" || task.Task == nil || *task.Task != 3 {
		t.Errorf("task: %+v, error %v", task, err)
	}
	for _, text := range []string{"", "x", "wk-000412/", "wk-000412/-1", "wk-000412/x", "wk-000412/100000", "/3"} {
		if target, err := ParseTarget(text); err == nil {
			t.Errorf("%q was accepted as %+v", text, target)
		}
	}
}
