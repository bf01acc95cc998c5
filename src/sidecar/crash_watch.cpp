#include "sidecar/crash_watch.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <unordered_map>

#include "net/connect_probe.hpp"

namespace anisehold::sidecar {
namespace {

/// The server is on this machine, where a port that nobody listens at refuses without a way to go. A machine
/// that is short of processor time may let the look wait. Chosen, not measured.
constexpr milliseconds kLookTimeout{100};
/// How soon the other connections are looked at again while their ends may be on their way. Chosen, not
/// measured.
constexpr milliseconds kLookAgain{5};

}  // namespace

bool CrashWatch::look() const {
    const auto deadline = TimePoint::clock::now() + kLookTimeout;
    bool refuses = net::refuses_connections(io_, client_.server(), deadline);
    // The ends of the other connections may be on their way still.
    while (refuses && client_.has_live_idle_connection() && TimePoint::clock::now() < deadline) {
        boost::this_fiber::sleep_for(kLookAgain);
        refuses = net::refuses_connections(io_, client_.server(), deadline);
    }
    return refuses && !client_.has_live_idle_connection();
}

bool CrashWatch::is_server_gone() {
    if (is_gone_) {
        return true;
    }
    if (look_) {
        const auto under_way = look_;
        under_way->ended.wait();
        return under_way->is_gone;
    }
    const auto own = std::make_shared<Look>();
    look_ = own;
    own->is_gone = look();
    is_gone_ = own->is_gone;
    look_.reset();
    own->ended.set();
    return own->is_gone;
}

bool CrashWatch::take_report() {
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
