package arrangement

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one error in a configuration text. Line and Column count from 1 and are 0 if
// the position is unknown.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
}

// Faults lists all errors that were found in a configuration text.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a YAML text and checks it. Unknown keys are errors. It returns either
// Faults, with all errors that it can find, or the configuration with defaults applied.
func Parse(data []byte) (config Config, err error) {
	// The YAML library panics on some inputs, such as an array with an unknown
	// tag and no elements.
	defer func() {
		if p := recover(); p != nil {
			config, err = Config{}, Faults{{Line: 1, Column: 1, Message: fmt.Sprintf("the text cannot be read: %v", p)}}
		}
	}()
	return parse(data)
}

func parse(data []byte) (Config, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Config{}, Faults{syntaxFault(err)}
	}
	var config Config
	if err := yaml.UnmarshalWithOptions(data, &config, yaml.Strict()); err != nil {
		return Config{}, Faults{syntaxFault(err)}
	}
	if faults := check(config, positionFinder{file}); len(faults) > 0 {
		return Config{}, faults
	}
	return config.WithDefaults(), nil
}

// Check checks a configuration that was not parsed from a file, such as one assembled
// from published sections. It returns nil or Faults; they have no positions.
func Check(config Config) error {
	if faults := check(config, positionFinder{}); len(faults) > 0 {
		return faults
	}
	return nil
}

func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Column: 1, Message: err.Error()}
	var located yaml.Error
	if !errors.As(err, &located) {
		return fault
	}
	fault.Message = located.GetMessage()
	if t := located.GetToken(); t != nil && t.Position != nil {
		fault.Line, fault.Column = t.Position.Line, t.Position.Column
	}
	return fault
}

// positionFinder finds the line and column of a value in the parsed text. Without a file,
// it finds none.
type positionFinder struct {
	file *ast.File
}

func (p positionFinder) newFault(path, format string, args ...any) Fault {
	fault := Fault{Message: fmt.Sprintf(format, args...)}
	if p.file == nil {
		return fault
	}
	fault.Line, fault.Column = 1, 1
	yamlPath, err := yaml.PathString(path)
	if err != nil {
		return fault
	}
	node, err := yamlPath.FilterFile(p.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return fault
	}
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		node = m.Values[0].Key
	}
	fault.Line = node.GetToken().Position.Line
	fault.Column = node.GetToken().Position.Column
	return fault
}
