#pragma once

#include <string>

namespace Membership
{
/// A VM of the platform's list, which lags: it may be dead, and live ones may be missing.
struct listed_vm {
    std::string name;
    std::string callerAddress;
    std::string peerAddress;
    std::string dataCentre;
    bool leaving = false;
};
} // namespace Membership
