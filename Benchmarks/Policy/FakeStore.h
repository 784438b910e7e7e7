#pragma once

#include "LibConfiguration/WriteOutcome.h"
#include "LibCore/RandomEngine.h"
#include "Policy/EventQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Bench
{
/// A platform store on virtual time that holds the configuration: conditional writes, late writes, lost replies and
/// outages. It keeps its own record of what took effect.
struct fake_store {
    event_queue &events;
    Core::random_engine &random;
    bool up = true;
    std::string text {};
    std::uint64_t version = 1;
    std::map<std::string, int> appliedById {}; ///< How often each patch id took effect.
    std::map<std::uint64_t, std::uint64_t> appliedByTransaction {}; ///< The number that each transaction's write made.
    std::map<std::int64_t, std::uint64_t> callsInSecond {}; ///< By seconds since the start of the run.
    std::uint64_t lostReplies = 0;

    /// Reads the document with its tag; nothing if the store is down or the reply is lost.
    void read(std::function<void(std::optional<std::string>, std::string)> done);
    /// Writes the document on a condition. The write may arrive late, and its reply may be lost.
    void write(std::uint64_t transaction, const std::string &newText, const std::string &expectedTag,
               std::function<void(Configuration::write_outcome)> done);
    /// Counts a call, as of a watch, and tells whether the store is up.
    bool countCall();
    [[nodiscard]] std::string tag() const;
};
} // namespace Bench
