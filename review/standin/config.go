package main

import (
	"encoding/json"
	"maps"
)

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
