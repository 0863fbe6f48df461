// Package bed2 holds the stand-ins of the second review: the platform's store, its servers and the platform
// that starts the instances. The names of the users' wire stand in names.json.
package bed2

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
)

//go:embed names.json
var namesData []byte

// Names are the names of the users' wire, and templates of what is stored, with $placeholders.
type Names struct {
	SettingsVariable string            `json:"settingsVariable"`
	Paths            map[string]string `json:"paths"`
	Topics           map[string]string `json:"topics"`
	ConfigKey        string            `json:"configKey"`
	Headers          map[string]string `json:"headers"`
	Route            string            `json:"route"`
	Service          string            `json:"service"`
	Engine           string            `json:"engine"`
	Config           string            `json:"config"`
	Server           string            `json:"server"`
	Settings         string            `json:"settings"`
}

// Wire holds the names.
var Wire = loadNames()

func loadNames() Names {
	var n Names
	if err := json.Unmarshal(namesData, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}

// Fill replaces the placeholders of a template.
func Fill(template string, values map[string]any) string {
	var pairs []string
	for name, v := range values {
		pairs = append(pairs, "$"+name, fmt.Sprint(v))
	}
	return strings.NewReplacer(pairs...).Replace(template)
}
