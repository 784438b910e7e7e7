#pragma once

#include <string>

namespace Membership
{
/// A VM of the platform's list. The list lags behind: it may contain dead VMs and lack live ones.
struct listed_vm {
    std::string name;
    std::string callerAddress;
    std::string peerAddress;
    std::string dataCentre;
    bool leaving = false;
};
} // namespace Membership
