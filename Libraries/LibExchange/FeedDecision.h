#pragma once

namespace Exchange
{
/// What to do now.
struct feed_decision {
    bool direct = false; ///< Watch the store, rather than follow another daemon.
    bool switchSource = false; ///< Follow another daemon: the present one hands on too little.
    bool refresh = false; ///< Read everything from the store anew: the watches seem to have missed something.
};
} // namespace Exchange
