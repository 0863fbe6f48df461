package main

import (
	"encoding/json"
	"os"
)

// names holds the names of the wire and the examples of its messages. They are read from a
// data file.
var names struct {
	SettingsVariable string         `json:"settingsVariable"`
	Serve            []string       `json:"serve"`
	ReadyPath        string         `json:"readyPath"`
	NewestPath       string         `json:"newestPath"`
	ReadPath         string         `json:"readPath"`
	AppendPath       string         `json:"appendPath"`
	OperatorTopic    string         `json:"operatorTopic"`
	ServerTopic      string         `json:"serverTopic"`
	RequestHeader    string         `json:"requestHeader"`
	DeadlineHeader   string         `json:"deadlineHeader"`
	SealHeader       string         `json:"sealHeader"`
	ExpectHeader     string         `json:"expectHeader"`
	InstanceHeader   string         `json:"instanceHeader"`
	NotRunHeader     string         `json:"notRunHeader"`
	LeavingHeader    string         `json:"leavingHeader"`
	ModelHeader      string         `json:"modelHeader"`
	UsageHeader      string         `json:"usageHeader"`
	PrefixHeader     string         `json:"prefixHeader"`
	LastEventHeader  string         `json:"lastEventHeader"`
	TimeoutField     string         `json:"timeoutField"`
	Key              string         `json:"key"`
	Host             string         `json:"host"`
	Config           map[string]any `json:"config"`
	ServerEntry      map[string]any `json:"serverEntry"`
	// IncompleteEntry is an entry in which fields are missing.
	IncompleteEntry map[string]any `json:"incompleteEntry"`
	Settings        map[string]any `json:"settings"`
}

func loadNames(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, &names)
}
