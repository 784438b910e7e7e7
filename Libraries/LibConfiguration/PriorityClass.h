#pragma once

namespace Configuration
{
/// Priorities for load shedding, highest first: under overload, requests of the lowest class are rejected first.
enum class priority_class {
    Alert,
    Lookup,
    Ordinary,
};
} // namespace Configuration
