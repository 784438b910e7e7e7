#pragma once

#include <cstdint>
#include <string>

namespace Membership
{
/// One address that callers may use.
struct entry {
    std::string name; ///< The VM's name.
    std::uint64_t incarnation = 0; ///< For the ids of non-idempotent requests.
    std::string address;
    std::string dataCentre;
    double weight = 1.0; ///< Callers pick in proportion to it.
};
} // namespace Membership
