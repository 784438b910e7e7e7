#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Forward
{
/// The requests that one connection to a replica has carried.
///
/// A replica may send an extra copy of a response at any later time, and all attempts of a request share its id. On a
/// connection that has carried a request before, a late copy cannot be told from the response to the next attempt.
struct carried_requests {
    std::vector<std::uint64_t> idHashes; ///< Sorted. Two ids with the same hash only cost a further connection.
};

/// Returns whether a response to the request can be told from late copies of earlier responses on the connection. False
/// also for a connection that has carried as many requests as it may.
[[nodiscard]] bool mayCarry(const carried_requests &carried, std::string_view requestId);

/// Records that the request is sent on the connection. Requests without an id are not recorded.
void recordCarried(carried_requests &carried, std::string_view requestId);
} // namespace Forward
