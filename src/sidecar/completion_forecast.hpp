/// @file
/// Decides whether requests that begin during a planned stop can be completed before the process ends. Owns
/// the times that requests take at one place of the daemon; the rule is in stopping/completion.
#pragma once

#include <string>

#include "net/http_types.hpp"
#include "protocol/time_types.hpp"
#include "stopping/completion.hpp"

namespace anisehold::sidecar {

class StopState;

/// Receives the responses of servers from `CallIngress` (the whole time of a request of this machine) or from
/// `LocalGate` (the time of a run at the local server).
class CompletionForecast {
  public:
    /// `stop` must outlive the forecast.
    explicit CompletionForecast(const StopState& stop) : stop_(stop) {}

    /// Whether no stop has begun, or a request that begins at `now` is expected to be completed before the
    /// process ends.
    bool can_complete(TimePoint now, const stopping::BeginningRequest& request) const;
    /// Records that a request that began at `began` has this response. If only a part of the body has
    /// arrived, the request is recorded as completed when the rest has been read. The forecast must outlive
    /// the response.
    void on_response(const std::string& row, TimePoint began, net::HttpResponse& response);

  private:
    class TimedBodyReader;

    const StopState& stop_;
    stopping::CompletionTimes times_;
};

}  // namespace anisehold::sidecar
