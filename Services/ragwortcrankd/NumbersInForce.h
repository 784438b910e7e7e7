#pragma once

#include <cstdint>
#include <map>
#include <string>

struct daemon_state;

/// Returns the configuration number in force on each live VM, always including this one.
[[nodiscard]] std::map<std::string, std::uint64_t> numbersInForce(const daemon_state &daemon);
