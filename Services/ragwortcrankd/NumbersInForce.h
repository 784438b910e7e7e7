#pragma once

#include <cstdint>
#include <map>
#include <string>

struct daemon_state;

/// Returns the configuration number that each live VM has in force, this one always included.
[[nodiscard]] std::map<std::string, std::uint64_t> numbersInForce(const daemon_state &daemon);
