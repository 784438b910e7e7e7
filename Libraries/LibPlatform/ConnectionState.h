#pragma once

#include <cstddef>
#include <mutex>
#include <string>

namespace Platform
{
/// The HTTP server's state of one open connection.
struct connection_state {
    std::mutex mutex; ///< Guards `answering` and `closing`, which the responding thread uses as well.
    bool answering = false; ///< A request was passed to the handler and its response is not sent yet.
    bool closing = false; ///< The next response announces the close, and all further input is discarded.

    // The members below are used only by the connection's own thread.
    std::string header; ///< Received bytes of a header that is not yet complete.
    bool readingBody = false;
    std::size_t bodyBytesLeft = 0; ///< Bytes still expected of a body with a Content-Length.
    bool bodyIsChunked = false;
};
} // namespace Platform
