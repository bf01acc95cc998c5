/// @file
/// Refuses new root requests of a row whose calls are being refused for overload further down.
#pragma once

#include "admission/adaptive_throttle.hpp"
#include "daemon/daemon_context.hpp"
#include "routing/call.hpp"

namespace anisehold::routing {

/// Refuses before any work is done for the request, so that none is wasted.
class EarlyRefusalRoute final : public RouteHandle {
  public:
    EarlyRefusalRoute(daemon::DaemonContext& context, RouteHandle& next) : context_(context), next_(next) {}
    CallResult route(Call& call) override;

  private:
    daemon::DaemonContext& context_;
    RouteHandle& next_;
    admission::AdaptiveThrottle throttle_;
};

}  // namespace anisehold::routing
