/// @file
/// Refuses new root requests of a row while its calls, or calls nested in them, are being refused because of
/// overload. Owns the counts of each row; relies on admission/adaptive_throttle for the decision.
#pragma once

#include "admission/adaptive_throttle.hpp"
#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"

namespace anisehold::daemon {

/// Refuses a request before any work is done for it, so that no work is wasted.
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
