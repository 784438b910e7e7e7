#pragma once

namespace Wire
{
class peer_clients;
class peer_service;

/// What runs on the network's thread.
struct peer_loop {
    peer_clients &clients;
    peer_service &service;
};
} // namespace Wire
