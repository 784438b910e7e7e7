#pragma once

namespace Query
{
/// Which connection an attempt may use.
enum class connection_choice {
    Any,
    Fresh, ///< A new one: another connection to the same place has just gone silent.
};
} // namespace Query
