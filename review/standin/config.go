package main

import (
	"encoding/json"
	"maps"
	"time"
)

// setTimeout sets the time limit of the routes with a name in the configurations that follow.
func setTimeout(route string, d time.Duration) {
	for _, r := range names.Config["routes"].([]any) {
		if r := r.(map[string]any); r["name"] == route {
			r[names.TimeoutField] = d.Milliseconds()
		}
	}
}

// publish writes the configuration of the data file under a version.
func (s *scene) publish(version int) error {
	config := maps.Clone(names.Config)
	config["version"] = version
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	s.store.put(names.OperatorTopic, "config", data)
	s.record.note("the operator writes version %d", version)
	return nil
}
