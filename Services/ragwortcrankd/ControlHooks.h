#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

/// Functions through which the configuration code uses other parts of the daemon. Set before the threads start and not
/// changed afterwards; each function is called from several threads.
struct control_hooks {
    /// Returns the configuration number in force on each live VM by VM name, this one included. Unset: this VM alone.
    std::function<std::map<std::string, std::uint64_t>()> numbersInForce;
    /// Returns this VM's rank among the live VMs that may watch the store, starting at 0. Unset: 0.
    std::function<std::size_t()> watchRank;
    /// Returns the accounts of all teams as JSON, for GET /v1/operator/accounts. Unset: not served.
    std::function<std::string()> accountsText;
};
