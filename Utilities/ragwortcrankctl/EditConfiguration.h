#pragma once

#include "ExitCode.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Configuration
{
struct configuration_document;
}

struct session;

/// Makes the patch for a document, or returns nothing after it has printed why there is none.
using patch_maker = std::function<std::optional<boost::json::object>(const Configuration::configuration_document &)>;

/// Reads the configuration in force. Prints the failure and sets `code` if it cannot be read.
[[nodiscard]] std::optional<Configuration::configuration_document> readConfiguration(session &current, exit_code &code);

/// Sends a patch against a number and prints the outcome. Without an answer it is sent again with the same patch id.
exit_code sendPatch(session &current, std::uint64_t base, const std::string &patchId, const std::string &patch);

/// Reads the configuration, makes a patch for it and sends it. With --retry a stale number starts over.
exit_code editConfiguration(session &current, const patch_maker &makePatch);

/// Returns a random token for a patch id.
[[nodiscard]] std::string makeToken();
