#pragma once

namespace Configuration
{
/// The order in which requests are kept under overload, the most important first.
enum class priority_class {
    Alert,
    Lookup,
    Ordinary,
};
} // namespace Configuration
