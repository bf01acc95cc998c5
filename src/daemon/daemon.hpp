/// @file
/// One daemon: builds its parts, starts them, and stops as planned.
#pragma once

#include <memory>

#include "config/settings.hpp"

namespace anisehold::net {
class EventLoop;
}

namespace anisehold::daemon {

/// Everything that `anisehold serve` runs.
class Daemon {
  public:
    Daemon(net::EventLoop& loop, config::Settings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Binds all addresses and starts. False if one can't be bound; an event says which.
    bool start();
    /// The planned stop: says so to peers, finishes what is in flight, then returns.
    void stop();

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace anisehold::daemon
