#pragma once

namespace Wire
{
class peer_clients;
class peer_service;

/// The objects of the network's thread that work items operate on.
struct peer_loop {
    peer_clients &clients;
    peer_service &service;
};
} // namespace Wire
