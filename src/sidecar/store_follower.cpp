#include "sidecar/store_follower.hpp"

#include <utility>

#include "net/event_loop.hpp"

namespace anisehold::sidecar {

void StoreFollower::start(RegistrationKeeper::PeersFound peers_found) {
    registration_.set_peers_found(std::move(peers_found));
    net::EventLoop::spawn([this] { watch_.take_first(); });
    net::EventLoop::spawn([this] { watch_.follow(); });
    net::EventLoop::spawn([this] { registration_.run(); });
    net::EventLoop::spawn([this] { zone_.run(); });
}

}  // namespace anisehold::sidecar
