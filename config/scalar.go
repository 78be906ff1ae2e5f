package config

import (
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"chervilreach/core/fleet"

	"github.com/tailscale/hujson"
)

// Descriptions of the expected values, for error messages.
const (
	wantAddr     = `an IP address and a port from 1 to 65535, such as "10.0.0.7:7400" or "[fd00::7]:7400" (no host name)`
	wantDuration = `a duration with a unit, such as "250ms" or "10s"`
	wantNumber   = `a number, with or without quotes`
	wantBytes    = `a whole number of bytes, or a string such as "64KiB", "4.5MiB" or "80GiB"`
	wantString   = `a string in quotes`
	wantBool     = `true or false`
	wantInt      = `a whole number`
)

var (
	addrType     = reflect.TypeFor[netip.AddrPort]()
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[fleet.Bytes]()
)

// isScalar reports whether values of type t are written as one JSON literal.
func isScalar(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Float64:
		return true
	default:
		return t == addrType
	}
}

// describeScalar describes the expected literal for a scalar type.
func describeScalar(t reflect.Type) string {
	switch {
	case t == addrType:
		return wantAddr
	case t == durationType:
		return wantDuration
	case t == bytesType:
		return wantBytes
	case t.Kind() == reflect.String:
		return wantString
	case t.Kind() == reflect.Bool:
		return wantBool
	case t.Kind() == reflect.Float64:
		return wantNumber
	default:
		return wantInt
	}
}

// describeType describes the expected value for a scalar type or a slice of scalars.
func describeType(t reflect.Type) string {
	if t.Kind() == reflect.Slice {
		return "a list of " + describeScalar(t.Elem())
	}
	return describeScalar(t)
}

// setScalar sets dst from a literal. If the literal is not valid for the type of dst, it
// returns a description of the expected value, otherwise the empty string.
func setScalar(dst reflect.Value, lit hujson.Literal) string {
	if !parseScalar(dst, lit) {
		return describeScalar(dst.Type())
	}
	return ""
}

// parseScalar parses a literal into dst. It reports whether the literal is valid for the
// type of dst; if not, dst may hold any value.
func parseScalar(dst reflect.Value, lit hujson.Literal) bool {
	isText := lit.Kind() == '"'
	switch dst.Type() {
	case addrType:
		addr, err := netip.ParseAddrPort(lit.String())
		dst.Set(reflect.ValueOf(addr))
		return isText && err == nil && addr.Port() != 0 && addr.Addr().Zone() == ""
	case durationType:
		d, err := time.ParseDuration(lit.String())
		dst.SetInt(int64(d))
		return isText && err == nil
	case bytesType:
		n, ok := parseBytes(lit)
		dst.SetInt(int64(n))
		return ok
	}
	return parseBasicKind(dst, lit)
}

// parseBasicKind is parseScalar for strings, booleans and numbers.
func parseBasicKind(dst reflect.Value, lit hujson.Literal) bool {
	switch dst.Kind() {
	case reflect.String:
		dst.SetString(lit.String())
		return lit.Kind() == '"'
	case reflect.Bool:
		dst.SetBool(lit.Bool())
		return lit.Kind() == 't' || lit.Kind() == 'f'
	case reflect.Float64:
		x, err := strconv.ParseFloat(lit.String(), 64)
		dst.SetFloat(x)
		return err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
	default:
		n, err := strconv.Atoi(string(lit))
		dst.SetInt(int64(n))
		return err == nil
	}
}

// byteUnits are the suffixes of byte counts that are written as strings.
var byteUnits = []struct {
	suffix string
	bytes  fleet.Bytes
}{{"KiB", fleet.KiB}, {"MiB", fleet.MiB}, {"GiB", fleet.GiB}}

// parseBytes parses a byte count: a whole number, or a string with a unit, which may have a
// fraction. It reports whether the
// literal is valid; negative counts and overflows are not.
func parseBytes(lit hujson.Literal) (fleet.Bytes, bool) {
	digits, unit := string(lit), fleet.Bytes(1)
	if lit.Kind() == '"' {
		digits = ""
		for _, u := range byteUnits {
			if rest, ok := strings.CutSuffix(lit.String(), u.suffix); ok {
				digits, unit = rest, u.bytes
			}
		}
	}
	if x, err := strconv.ParseFloat(digits, 64); err == nil && unit > 1 && strings.Contains(digits, ".") {
		x *= float64(unit)
		return fleet.Bytes(x), x >= 0 && x < math.MaxInt64
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/int64(unit) {
		return 0, false
	}
	return fleet.Bytes(n) * unit, true
}

// defaultLiteral returns the JSON literal for the text of a default tag on a field of type t.
func defaultLiteral(t reflect.Type, text string) hujson.Literal {
	unquoted := t.Kind() == reflect.Int || t.Kind() == reflect.Float64 || t.Kind() == reflect.Bool
	if unquoted {
		return hujson.Literal(text)
	}
	return hujson.String(text)
}
