/// @file
/// Refuses new root requests of a row whose calls are being refused for overload further down. Owns the row's
/// counts; relies on admission/adaptive_throttle for the decision.
#pragma once

#include "admission/adaptive_throttle.hpp"
#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"

namespace anisehold::daemon {

/// Refuses before any work is done for the request, so that none is wasted.
class EarlyRefusalRoute final : public RouteHandle {
  public:
    EarlyRefusalRoute(DaemonContext& context, RouteHandle& next) : context_(context), next_(next) {}
    CallResult route(Call& call) override;

  private:
    DaemonContext& context_;
    RouteHandle& next_;
    admission::AdaptiveThrottle throttle_;
};

}  // namespace anisehold::daemon
