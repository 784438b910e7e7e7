#pragma once

namespace Soak
{
/// What a link does with bytes.
enum class link_mode {
    Open,
    Silent, ///< Holds the bytes of both directions back; connections stay open.
    OneWay, ///< Holds back what the target sends.
};
} // namespace Soak
