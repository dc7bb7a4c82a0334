package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
)

// tag is one placeholder of the settings template.
var tag = regexp.MustCompile(`{{([#^/]?)([^}]*)}}`)

// render fills in the settings template as the platform does: values, sections, and values as JSON.
func render(template string, fields map[string]any) (string, error) {
	out, rest, err := renderSection(template, "", []any{fields}, "")
	if err == nil && rest != "" {
		err = fmt.Errorf("unexpected end of a section before %q", rest)
	}
	return out, err
}

// renderSection renders up to the end of the section with the name and returns what follows it.
func renderSection(text, name string, scopes []any, index string) (out, rest string, err error) {
	var b strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(text)
		if at == nil {
			b.WriteString(text)
			return b.String(), "", nil
		}
		b.WriteString(text[:at[0]])
		sign, word := text[at[2]:at[3]], text[at[4]:at[5]]
		text = text[at[1]:]
		switch sign {
		case "/":
			if word != name {
				return "", "", fmt.Errorf("section %q ends as %q", name, word)
			}
			return b.String(), text, nil
		case "#", "^":
			part, after, err := renderEach(text, sign, word, scopes)
			if err != nil {
				return "", "", err
			}
			b.WriteString(part)
			text = after
		default:
			b.WriteString(value(word, scopes, index))
		}
	}
}

func renderEach(text, sign, word string, scopes []any) (out, rest string, err error) {
	_, rest, err = renderSection(text, word, scopes, "")
	if err != nil {
		return "", "", err
	}
	found := lookup(word, scopes)
	present := found != nil && found != false
	if (sign == "#") != present {
		return "", rest, nil
	}
	table, isTable := found.(map[string]any)
	if !isTable || sign == "^" {
		out, _, err = renderSection(text, word, scopes, "")
		return out, rest, err
	}
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		part, _, err := renderSection(text, word, append(slices.Clone(scopes), table[key]), key)
		if err != nil {
			return "", "", err
		}
		out += part
	}
	return out, rest, nil
}

func value(word string, scopes []any, index string) string {
	name, asJSON := strings.CutSuffix(word, "|json")
	if name == "@" {
		return index
	}
	v := lookup(name, scopes)
	if v == nil {
		return ""
	}
	if asJSON {
		text, _ := json.Marshal(v)
		return string(text)
	}
	return fmt.Sprint(v)
}

func lookup(name string, scopes []any) any {
	if name == "." {
		return scopes[len(scopes)-1]
	}
	for _, scope := range slices.Backward(scopes) {
		v := scope
		for part := range strings.SplitSeq(name, ".") {
			switch of := v.(type) {
			case map[string]any:
				v = of[part]
			case []any:
				v = nil
				for i := range of {
					if fmt.Sprint(i) == part {
						v = of[i]
					}
				}
			default:
				v = nil
			}
		}
		if v != nil {
			return v
		}
	}
	return nil
}

// settingsOf returns the settings of the daemon on a machine. Its peers have loopback addresses,
// which a deployment's networks do not contain, so these are added.
func settingsOf(f *fleet, m *machine) (string, error) {
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return "", err
	}
	zones := map[string]any{}
	for _, other := range f.machines {
		zones[other.zone] = other.region
	}
	bounds := map[string]any{
		"FloorShare": 0.7, "BudgetRatio": 0.2, "BudgetWindow": "10s", "BudgetSlack": 60, "Grace": "6s",
	}
	if f.strictRevoke {
		bounds["StrictRevoke"], bounds["Revoke"] = true, "5s"
	}
	if f.quotas {
		bounds["QuotaWindow"], bounds["QuotaExcess"], bounds["QuotaSlack"] = "5s", quotaExcess, quotaSlack
	}
	text, err := render(string(template), map[string]any{
		"Ip": m.ip, "Zone": m.zone, "Region": m.region, "Service": m.service, "AppAddr": m.appAddress(),
		"Listen":    map[string]any{"Outbound": m.outbound(), "Inbound": m.address(f.ports.inbound), "Ready": m.ready()},
		"PortRange": []any{f.ports.admin}, "Platform": map[string]any{"Address": m.storeAddress()},
		"Bounds": bounds, "Zones": zones, "Limits": map[string]any{"MaxFds": 4100, "NicMbps": 1000.0},
	})
	return strings.Replace(text, `peerNetworks: [`, `peerNetworks: ["127.0.0.0/8", `, 1), err
}
