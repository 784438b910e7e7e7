#pragma once

#include <cstddef>
#include <mutex>
#include <string>

namespace Platform
{
/// What the HTTP server knows of one open connection.
struct connection_state {
    std::mutex mutex; ///< Guards `answering` and `closing`, which the answering thread uses too.
    bool answering = false; ///< A request was handed to the handler and its answer was not yet sent.
    bool closing = false; ///< The next answer announces the close, and all further input is dropped.

    // Only the connection's own thread uses what follows.
    std::string header; ///< Received of a header that is not yet whole.
    bool readingBody = false;
    std::size_t bodyBytesLeft = 0; ///< Of a body with a stated length.
    bool bodyIsChunked = false;
};
} // namespace Platform
