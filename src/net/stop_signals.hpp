/// @file
/// The stop signals of the process. Relies on the event loop, which reports them to a fiber.
#pragma once

#include <boost/asio/signal_set.hpp>

#include "net/event_loop.hpp"

namespace anisehold::net {

/// Takes over SIGTERM and SIGINT, and ignores SIGHUP, whose default actions end the process at once and cut
/// its requests. Created before the first address is bound and kept until the process exits: the default
/// actions return with the end of the object.
class StopSignals {
  public:
    explicit StopSignals(EventLoop& loop);

    /// Blocks the calling fiber until SIGTERM or SIGINT arrives, or returns one that has arrived since the
    /// last call. Returns the signal's number. One fiber may wait at a time.
    int wait();

  private:
    boost::asio::signal_set signals_;
};

}  // namespace anisehold::net
