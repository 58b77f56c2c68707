package schema

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// The formats of strings.
var (
	NameFormat = &Format{
		Name:  "1 to 63 lower-case letters, digits and hyphens",
		Valid: namePattern.MatchString,
	}
	AddressFormat = &Format{
		Name:  "IP:port",
		Valid: func(s string) bool { _, err := netip.ParseAddrPort(s); return err == nil },
	}
	URLFormat = &Format{
		Name:  "http or https URL",
		Valid: validURL,
	}
	HashFormat = &Format{
		Name:  "SHA-256 as 64 lower-case hexadecimal digits",
		Valid: validHash,
	}
	MethodFormat = &Format{
		Name:  "HTTP method in capitals",
		Valid: regexp.MustCompile(`^[A-Z]{1,20}$`).MatchString,
	}
)

func validURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func validHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32 && s == hex.EncodeToString(b)
}
