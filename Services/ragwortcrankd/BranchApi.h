#pragma once

#include <memory>
#include <vector>

struct daemon_state;
class query_worker;

/// Lets the workers run the branches that other daemons ask for. Called before the peer network starts; the workers
/// must outlive the network.
void serveBranches(daemon_state &daemon, std::vector<std::unique_ptr<query_worker>> &workers);
