package record

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"chervilreach/core/fleet"
)

// size is an amount of memory in bytes. In JSON it is a string such as "14GiB",
// "120MiB" or "64KiB", or a number of bytes.
type size fleet.Bytes

// maxSize is the largest amount of memory that a record may contain: 1 PiB.
const maxSize = size(1 << 50)

// sizeUnit is a unit of memory and its suffix in JSON.
type sizeUnit struct {
	suffix string
	bytes  fleet.Bytes
}

// sizeUnits returns the units in descending order.
func sizeUnits() []sizeUnit {
	return []sizeUnit{{"GiB", fleet.GiB}, {"MiB", fleet.MiB}, {"KiB", fleet.KiB}}
}

// expected implements expecter.
func (size) expected() string { return `a size such as "14GiB" or "120MiB", or bytes` }

// UnmarshalJSON implements json.Unmarshaler.
func (s *size) UnmarshalJSON(data []byte) error {
	text := string(data)
	if strings.HasPrefix(text, `"`) {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
	}
	unit := fleet.Bytes(1)
	for _, u := range sizeUnits() {
		if number, ok := strings.CutSuffix(text, u.suffix); ok {
			text, unit = number, u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || n < 0 || n > int64(maxSize)/int64(unit) {
		return fmt.Errorf("%w: size %s", ErrInvalid, data)
	}
	*s = size(n * int64(unit))
	return nil
}

// MarshalJSON implements json.Marshaler. It uses the largest unit in which the
// size is a whole number.
func (s size) MarshalJSON() ([]byte, error) {
	for _, u := range sizeUnits() {
		if s > 0 && int64(s)%int64(u.bytes) == 0 {
			return json.Marshal(strconv.FormatInt(int64(s)/int64(u.bytes), 10) + u.suffix)
		}
	}
	return json.Marshal(int64(s))
}

// duration is a time.Duration whose JSON form is a string such as "30s" or
// "1m30s".
type duration time.Duration

// expected implements expecter.
func (duration) expected() string { return `a time such as "30s" or "1m30s"` }

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%w: time %q", ErrInvalid, text)
	}
	*d = duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler. It writes whole minutes as "2m" rather
// than "2m0s".
func (d duration) MarshalJSON() ([]byte, error) {
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	return json.Marshal(text)
}
