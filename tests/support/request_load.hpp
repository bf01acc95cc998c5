/// @file
/// A steady load of requests to random machines of a fleet, and the result of each request.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::testing {

struct LoadRequest {
    std::string id;
    std::size_t machine = 0;  ///< The machine to which the client sent the request.
    TimePoint sent;
    ClientAnswer answer;  ///< Status 0 until the request has ended.
};

/// Sends requests for one service. The fleet must outlive this object.
class RequestLoad {
  public:
    using Observer = std::function<void(const LoadRequest&)>;

    RequestLoad(SidecarFleet& fleet, std::string service, unsigned seed)
        : fleet_(fleet), service_(std::move(service)), seed_(seed) {}
    ~RequestLoad() { stop(); }
    RequestLoad(const RequestLoad&) = delete;
    RequestLoad& operator=(const RequestLoad&) = delete;

    /// Sends one request every `gap` from now until `stop`.
    void start(milliseconds gap);
    /// Ends the load and waits until all requests have ended. Blocks the fiber.
    void stop();
    /// Starts the load, waits for `time`, and stops it.
    void run(milliseconds time, milliseconds gap);

    /// Calls the observer for each response on arrival.
    void observe_answers(Observer observer) { observer_ = std::move(observer); }
    const std::vector<std::unique_ptr<LoadRequest>>& requests() const { return requests_; }
    /// Returns the share of the requests sent at `since` or later that were served.
    double served_share(TimePoint since) const;

  private:
    void send_all(milliseconds gap);
    void send_one(std::size_t machine);

    SidecarFleet& fleet_;
    std::string service_;
    unsigned seed_;
    Observer observer_;
    std::vector<std::unique_ptr<LoadRequest>> requests_;
    int fibers_ = 0;  ///< Number of fibers that refer to this object.
    bool stopped_ = true;
};

}  // namespace anisehold::testing
