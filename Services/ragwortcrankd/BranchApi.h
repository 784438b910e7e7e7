#pragma once

#include <memory>
#include <vector>

struct daemon_state;
class query_worker;

/// Registers the handler that runs branches for other daemons on the workers. Must be called before the peer network
/// starts; the workers must outlive the network.
void serveBranches(daemon_state &daemon, std::vector<std::unique_ptr<query_worker>> &workers);
