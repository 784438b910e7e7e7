#pragma once

/// How results are printed.
enum class output_format {
    Text,
    Json, ///< One JSON value on a line of its own.
};
