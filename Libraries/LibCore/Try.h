#pragma once

#include "LibCore/Result.h"

#include <utility>

/// Evaluates an expression of type Core::result. Yields its value, or returns its error from the enclosing function.
// NOLINTNEXTLINE(cppcoreguidelines-macro-usage)
#define TRY(expression) \
    ({ \
        auto &&tryResult = (expression); \
        if (!tryResult.has_value()) { \
            return std::move(tryResult).as_failure(); \
        } \
        std::move(tryResult).assume_value(); \
    })
