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

// What single values look like, for errors.
const (
	wantAddr     = `an IP number and a port from 1 to 65535, such as "10.0.0.7:7400" or "[fd00::7]:7400" (no host name)`
	wantDuration = `a time with its unit, such as "250ms" or "10s"`
	wantNumber   = "a number"
	wantBytes    = `a whole number of bytes, or text such as "64KiB", "4MiB" or "80GiB"`
	wantString   = `a text in quotes`
	wantBool     = `true or false`
	wantInt      = `a whole number`
)

var (
	typeAddr     = reflect.TypeFor[netip.AddrPort]()
	typeDuration = reflect.TypeFor[time.Duration]()
	typeBytes    = reflect.TypeFor[fleet.Bytes]()
)

// isScalar says whether values of the type are written as one JSON literal.
func isScalar(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Float64:
		return true
	default:
		return t == typeAddr
	}
}

// wantScalar says what a value of a scalar type looks like.
func wantScalar(t reflect.Type) string {
	switch {
	case t == typeAddr:
		return wantAddr
	case t == typeDuration:
		return wantDuration
	case t == typeBytes:
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

// wantType says what a value of any type looks like.
func wantType(t reflect.Type) string {
	if t.Kind() == reflect.Slice {
		return "a list of " + wantScalar(t.Elem())
	}
	return wantScalar(t)
}

// setScalar sets dst from a literal. It returns what was expected when the
// literal does not fit.
func setScalar(dst reflect.Value, lit hujson.Literal) string {
	if !parseScalar(dst, lit) {
		return wantScalar(dst.Type())
	}
	return ""
}

func parseScalar(dst reflect.Value, lit hujson.Literal) bool {
	isText := lit.Kind() == '"'
	switch dst.Type() {
	case typeAddr:
		addr, err := netip.ParseAddrPort(lit.String())
		dst.Set(reflect.ValueOf(addr))
		return isText && err == nil && addr.Port() != 0 && addr.Addr().Zone() == ""
	case typeDuration:
		d, err := time.ParseDuration(lit.String())
		dst.SetInt(int64(d))
		return isText && err == nil
	case typeBytes:
		n, ok := parseBytes(lit)
		dst.SetInt(int64(n))
		return ok
	}
	return parseKind(dst, lit)
}

// parseKind sets a value of a plain kind.
func parseKind(dst reflect.Value, lit hujson.Literal) bool {
	switch dst.Kind() {
	case reflect.String:
		dst.SetString(lit.String())
		return lit.Kind() == '"'
	case reflect.Bool:
		dst.SetBool(lit.Bool())
		return lit.Kind() == 't' || lit.Kind() == 'f'
	case reflect.Float64:
		x, err := strconv.ParseFloat(string(lit), 64)
		dst.SetFloat(x)
		return err == nil
	default:
		n, err := strconv.Atoi(string(lit))
		dst.SetInt(int64(n))
		return err == nil
	}
}

// units are the suffixes of amounts of memory.
var units = []struct {
	suffix string
	bytes  fleet.Bytes
}{{"KiB", fleet.KiB}, {"MiB", fleet.MiB}, {"GiB", fleet.GiB}}

// parseBytes reads an amount of memory, which is not negative.
func parseBytes(lit hujson.Literal) (fleet.Bytes, bool) {
	digits, unit := string(lit), fleet.Bytes(1)
	if lit.Kind() == '"' {
		digits = ""
		for _, u := range units {
			if rest, ok := strings.CutSuffix(lit.String(), u.suffix); ok {
				digits, unit = rest, u.bytes
			}
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/int64(unit) {
		return 0, false
	}
	return fleet.Bytes(n) * unit, true
}

// defaultLiteral returns the literal of a default tag.
func defaultLiteral(t reflect.Type, text string) hujson.Literal {
	isNumber := t.Kind() == reflect.Int || t.Kind() == reflect.Float64 || t.Kind() == reflect.Bool
	if isNumber {
		return hujson.Literal(text)
	}
	return hujson.String(text)
}
