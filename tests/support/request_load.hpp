/// @file
/// A steady load of requests at random machines of a fleet, and what became of each.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::testing {

/// One request of the load.
struct LoadRequest {
    std::string id;
    std::size_t machine = 0;  ///< Where its client sent it.
    TimePoint sent;
    ClientAnswer answer;  ///< Status 0 until it has ended.
};

/// Requests for one service. The fleet must outlast this.
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
    /// Both, with `time` between them.
    void run(milliseconds time, milliseconds gap);

    /// The observer sees each answer as it comes.
    void observe_answers(Observer observer) { observer_ = std::move(observer); }
    const std::vector<std::unique_ptr<LoadRequest>>& requests() const { return requests_; }
    /// Share of the requests sent at `since` or later that were served.
    double served_share(TimePoint since) const;

  private:
    void send_all(milliseconds gap);
    void send_one(std::size_t machine);

    SidecarFleet& fleet_;
    std::string service_;
    unsigned seed_;
    Observer observer_;
    std::vector<std::unique_ptr<LoadRequest>> requests_;
    int fibers_ = 0;  ///< That refer to this.
    bool stopped_ = true;
};

}  // namespace anisehold::testing
