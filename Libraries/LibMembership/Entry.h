#pragma once

#include <cstdint>
#include <string>

namespace Membership
{
/// A daemon's address that is handed out to callers.
struct entry {
    std::string name; ///< The VM's name.
    std::uint64_t incarnation = 0; ///< Used in the identifiers of non-idempotent requests.
    std::string address;
    std::string dataCentre;
    double weight = 1.0; ///< Callers select an entry with a probability proportional to its weight.
};
} // namespace Membership
