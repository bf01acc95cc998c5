#include "sidecar/crash_watch.hpp"

#include <algorithm>
#include <unordered_map>

#include "net/connect_probe.hpp"

namespace anisehold::sidecar {
namespace {

/// The server is on this machine: a port that nobody listens at answers within a millisecond. One that is
/// short of processor time may let a connection wait.
constexpr milliseconds kLookTimeout{100};

}  // namespace

bool CrashWatch::is_server_gone() {
    if (is_gone_) {
        return true;
    }
    if (look_) {
        const auto look = look_;
        look->ended.wait();
        return look->refused;
    }
    const auto look = std::make_shared<Look>();
    look_ = look;
    look->refused = net::refuses_connections(io_, address_, TimePoint::clock::now() + kLookTimeout);
    is_gone_ = look->refused;
    look_.reset();
    look->ended.set();
    return look->refused;
}

bool CrashWatch::take_report() {
    const bool is_first = is_gone_ && !was_reported_;
    was_reported_ = was_reported_ || is_first;
    return is_first;
}

std::vector<poison::CrashedRun> CrashWatch::unanswered() const {
    std::unordered_map<RequestIdentity, unsigned> crashes_before;
    for (const auto& [run, at_server] : runs_) {
        if (!at_server.progress->request_started) {
            continue;
        }
        auto& before = crashes_before[at_server.request.request];
        before = std::max(before, at_server.request.crashesBefore);
    }
    std::vector<poison::CrashedRun> unanswered;
    for (const auto& [request, before] : crashes_before) {
        unanswered.push_back({request, before});
    }
    return unanswered;
}

}  // namespace anisehold::sidecar
