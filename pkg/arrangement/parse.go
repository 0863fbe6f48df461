package arrangement

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one error in a text.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
}

// Faults lists every error that was found in a text.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a text and checks it. Unknown keys are errors. It returns Faults,
// with all errors that it can find, or the text with its defaults filled in.
func Parse(data []byte) (text Text, err error) {
	// The YAML library panics on some texts, such as an array with an unknown
	// tag and no elements.
	defer func() {
		if p := recover(); p != nil {
			text, err = Text{}, Faults{{Line: 1, Column: 1, Message: fmt.Sprintf("the text cannot be read: %v", p)}}
		}
	}()
	return parse(data)
}

func parse(data []byte) (Text, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Text{}, Faults{syntaxFault(err)}
	}
	var text Text
	if err := yaml.UnmarshalWithOptions(data, &text, yaml.Strict()); err != nil {
		return Text{}, Faults{syntaxFault(err)}
	}
	if faults := check(text, locator{file}); len(faults) > 0 {
		return Text{}, faults
	}
	return text.WithDefaults(), nil
}

// Check checks a text that does not come from a file, such as one put together
// from published sections. Faults have no place then.
func Check(text Text) error {
	if faults := check(text, locator{}); len(faults) > 0 {
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

// locator finds the place of a value in the text.
type locator struct {
	file *ast.File
}

func (l locator) fault(path, format string, args ...any) Fault {
	fault := Fault{Message: fmt.Sprintf(format, args...)}
	if l.file == nil {
		return fault
	}
	fault.Line, fault.Column = 1, 1
	p, err := yaml.PathString(path)
	if err != nil {
		return fault
	}
	node, err := p.FilterFile(l.file)
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
