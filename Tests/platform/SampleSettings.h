#pragma once

/// A settings file as the platform writes it, with a member that is unknown to the daemon.
inline constexpr const char *sampleSettings = R"({
  "node-name": "front-1", "role": "front", "ip": "127.0.0.1", "zone": "z1", "region": "r1",
  "zones": {"z1": "r1", "z2": "r2"},
  "listen-addrs": {"front": "127.0.0.1:8226", "readiness": "127.0.0.1:8227", "control": "127.0.0.1:8224",
                   "directory": "127.0.0.1:8225"},
  "port-range": [7740, 7755], "seeds": ["127.0.0.1:8224", "127.0.0.2:8224"], "something-new": [1, 2],
  "bounds": {"grace-s": 6, "ttl_max_s": 5, "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-budget-slack": 58,
             "warmup-overshoot": 1.5, "warmup-slack": 5},
  "platform": {"address": "127.0.0.9:8229", "form": "objects"}
})";
