#pragma once

#include <capnp/blob.h>

#include <string>
#include <vector>

namespace Wire
{
/// Views a string as a text without a copy; the string must outlive the view.
[[nodiscard]] inline capnp::Text::Reader textOf(const std::string &value)
{
    return {value.c_str(), value.size()};
}

/// Views a string as raw bytes without a copy; the string must outlive the view.
[[nodiscard]] inline capnp::Data::Reader dataOf(const std::string &value)
{
    return {reinterpret_cast<const kj::byte *>(value.data()), value.size()};
}

[[nodiscard]] inline std::string stringOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

[[nodiscard]] inline std::string stringOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

template<typename Item> [[nodiscard]] unsigned listSize(const std::vector<Item> &list)
{
    return static_cast<unsigned>(list.size());
}
} // namespace Wire
