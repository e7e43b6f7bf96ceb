package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(folder string) (int, error){
	"bodies":  bodies,
	"leaving": leaving,
	"pause":   pause,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(cannot)
	}
	code, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// configuration returns a configuration like those of the small sites.
func configuration(version int) object {
	rt := func(name, prefix, kind, service string, timeoutMs, targetMs int, more object) object {
		out := object{
			"name": name, "host": "shop.example", "prefix": prefix, "route_type": kind, "service": service, "timeout_ms": timeoutMs,
			"target_latency_ms": targetMs, "priority": 1, "max_attempts": 3, "public": false,
		}
		for key, val := range more {
			out[key] = val
		}
		return out
	}
	return object{
		"version": version,
		"routes": []object{
			rt("draft", "/draft/", "streaming", "lm", 15000, 4000, object{"stream_resume": true, "gap_target_ms": 1000, "session_affinity": true, "sizes": []string{"m0", "m1", "m2"}}),
			rt("hold", "/hold/", "unsafe", "orders", 2000, 200, nil),
			rt("lookup", "/lookup/", "safe", "orders", 2000, 200, nil),
		},
		"services": []object{
			{"name": "lm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false},
			{"name": "orders", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{
			{"name": "usual", "api_keys": []string{"key-usual"}, "priority": 1},
			{"name": "large", "api_keys": []string{"key-large"}, "priority": 1},
		},
	}
}
