#pragma once

#include <string>

struct daemon_state;

/// Reads a document that came from the store or a peer and puts it in force if its number is higher.
/// Returns whether it was adopted. A document that is not valid is logged and ignored.
bool adoptConfiguration(daemon_state &daemon, const std::string &text);
