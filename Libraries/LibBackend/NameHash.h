#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Backend
{
/// Transparent hash that allows lookups by std::string_view in maps keyed by std::string, without a copy.
struct name_hash {
    using is_transparent = void;
    [[nodiscard]] std::size_t operator()(std::string_view name) const
    {
        return std::hash<std::string_view> {}(name);
    }
};
} // namespace Backend
