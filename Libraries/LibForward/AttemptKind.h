#pragma once

namespace Forward
{
/// How an attempt counts at its service.
enum class attempt_kind {
    First, ///< The service's first attempt for the request.
    Retry, ///< A retry or hedge, counted by the service's retry budget.
};
} // namespace Forward
