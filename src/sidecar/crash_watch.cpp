#include "sidecar/crash_watch.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <unordered_map>

#include "net/connect_probe.hpp"

namespace anisehold::sidecar {
namespace {

/// Timeout of one crash check. On the same machine a port without a listener refuses immediately, but the
/// check may be delayed if the machine is short of processor time.
constexpr milliseconds kCheckTimeout{100};
/// Pause before the other connections are checked again, while their closing may not have been received yet.
constexpr milliseconds kRecheckPause{5};

}  // namespace

bool CrashWatch::check_gone() const {
    const auto deadline = TimePoint::clock::now() + kCheckTimeout;
    bool refuses = net::refuses_connections(io_, client_.server(), deadline);
    // The closing of the other connections may not have been received yet.
    while (refuses && client_.has_live_idle_connection() && TimePoint::clock::now() < deadline) {
        boost::this_fiber::sleep_for(kRecheckPause);
        refuses = net::refuses_connections(io_, client_.server(), deadline);
    }
    return refuses && !client_.has_live_idle_connection();
}

bool CrashWatch::is_server_gone() {
    if (is_gone_) {
        return true;
    }
    if (check_) {
        const auto pending = check_;
        pending->ended.wait();
        return pending->is_gone;
    }
    const auto own = std::make_shared<Check>();
    check_ = own;
    own->is_gone = check_gone();
    is_gone_ = own->is_gone;
    check_.reset();
    own->ended.set();
    return own->is_gone;
}

bool CrashWatch::acquire_report() {
    const bool is_first = is_gone_ && !was_reported_;
    was_reported_ = was_reported_ || is_first;
    return is_first;
}

std::vector<suspects::CrashedRun> CrashWatch::unanswered() const {
    std::unordered_map<RequestIdentity, unsigned> crashes_before;
    for (const auto& [run, at_server] : runs_) {
        if (!at_server.progress->request_started) {
            continue;
        }
        auto& before = crashes_before[at_server.request.request];
        before = std::max(before, at_server.request.crashesBefore);
    }
    std::vector<suspects::CrashedRun> unanswered;
    unanswered.reserve(crashes_before.size());
    for (const auto& [request, before] : crashes_before) {
        unanswered.push_back({request, before});
    }
    return unanswered;
}

}  // namespace anisehold::sidecar
