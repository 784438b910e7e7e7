#pragma once

#include <string>

struct daemon_state;

/// Parses a document received from the store or a peer, and puts it in force if its number is higher than the current
/// one. Returns whether it did. An invalid document is logged and ignored.
bool adoptConfiguration(daemon_state &daemon, const std::string &text);
