package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"slices"
	"strings"

	"reedtrack/internal/outputs/settings"
)

// rootElement is the root element of the operators' settings file.
const rootElement = "reedtrack"

// outputsElement is the path of the element whose content is defined by package settings.
const outputsElement = rootElement + "/outputs"

// operatorXML is the content of the operators' settings file. Absent elements are nil.
// Every element must also be listed in operatorElements.
type operatorXML struct {
	XMLName      xml.Name      `xml:"reedtrack"`
	UCfitA       *float64      `xml:"ucfit>a"`
	UCfitB       *float64      `xml:"ucfit>b"`
	UCfitC       *float64      `xml:"ucfit>c"`
	Shards       *int          `xml:"shards"`
	FillMachines *int          `xml:"fill-machines"`
	HolderLeaseS *float64      `xml:"holder-lease-s"`
	IdleBoots    *float64      `xml:"idle-boots"`
	StatusListen *string       `xml:"status-listen"`
	LatencyLogS  *float64      `xml:"stages-every-s"`
	Outputs      *settings.XML `xml:"outputs"`
}

// operatorElements are the paths of the elements below the root, except those of
// settings.Outputs.
var operatorElements = []string{
	"ucfit",
	"ucfit/a",
	"ucfit/b",
	"ucfit/c",
	"shards",
	"fill-machines",
	"holder-lease-s",
	"idle-boots",
	"status-listen",
	"stages-every-s",
}

// parseOperatorXML decodes the operators' settings file and rejects unknown elements and
// attributes.
func parseOperatorXML(file string, raw []byte) (*operatorXML, error) {
	if err := checkElements(file, raw); err != nil {
		return nil, err
	}
	x := new(operatorXML)
	if err := xml.Unmarshal(raw, x); err != nil {
		return nil, &FieldError{File: file, Field: rootElement, Reason: err.Error()}
	}
	return x, nil
}

// apply overwrites the settings that are present in the file, except those that must be
// checked before conversion.
func (x *operatorXML) apply(op *Operator) {
	overwrite(&op.UCfitA, x.UCfitA)
	overwrite(&op.UCfitB, x.UCfitB)
	overwrite(&op.UCfitC, x.UCfitC)
	overwrite(&op.Shards, x.Shards)
	overwrite(&op.FillMachines, x.FillMachines)
	overwrite(&op.IdleBoots, x.IdleBoots)
	if x.HolderLeaseS != nil {
		op.HolderLease = Seconds(*x.HolderLeaseS)
	}
	if x.StatusListen != nil {
		op.StatusListen = strings.TrimSpace(*x.StatusListen)
	}
}

// overwrite sets a setting if value is present.
func overwrite[T any](setting *T, value *T) {
	if value != nil {
		*setting = *value
	}
}

// checkElements returns an error for the first unknown element or attribute.
// encoding/xml ignores these, so a misspelt setting would have no effect.
func checkElements(file string, raw []byte) error {
	c := checker{file}
	decoder := xml.NewDecoder(bytes.NewReader(raw))
	var path []string
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return c.errorf("syntax", "%v", err)
		}
		switch t := token.(type) {
		case xml.StartElement:
			path = append(path, t.Name.Local)
			element := strings.Join(path, "/")
			line, _ := decoder.InputPos()
			if !isKnownElement(element) {
				return c.errorf(element, "unknown element on line %d", line)
			}
			if len(t.Attr) > 0 {
				return c.errorf(element, "unknown attribute %s on line %d", t.Attr[0].Name.Local, line)
			}
		case xml.EndElement:
			path = path[:len(path)-1]
		}
	}
}

// isKnownElement reports whether the file may contain an element with this path.
func isKnownElement(path string) bool {
	if path == rootElement || path == outputsElement {
		return true
	}
	if name, ok := strings.CutPrefix(path, outputsElement+"/"); ok {
		return slices.Contains(settings.ElementNames, name)
	}
	name, ok := strings.CutPrefix(path, rootElement+"/")
	return ok && slices.Contains(operatorElements, name)
}
