#include "sidecar/crash_exchange.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "sidecar/store_call.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;

/// Minimum time between two rounds of reports to all peers. One crash creates up to a hundred suspects, which
/// are then cleared one by one; without this bound each change would be reported to all peers.
constexpr milliseconds kMinReportInterval{200};
/// Interval of the periodic reports to one random peer, while there are suspects.
constexpr milliseconds kPeerReportInterval{1'000};
/// Pause before a failed write of a verdict is retried. At two calls a second, one daemon uses a two
/// hundredth of the 400 writes a second that a store can handle.
constexpr milliseconds kStoreRetryPause{500};

std::string verdict_key(const RequestDigest& digest) {
    return std::string(kVerdictPrefix) + digest.text();
}

/// Wall-clock time in milliseconds. The clocks of machines differ by seconds at most, and verdicts last for
/// minutes.
std::int64_t unix_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace

void CrashExchange::start(Send send) {
    send_ = std::move(send);
    net::EventLoop::spawn([this] { report_changes(); });
    net::EventLoop::spawn([this] { report_to_one_periodically(); });
}

std::vector<KnownRequest> CrashExchange::remembered(TimePoint now) const {
    std::vector<KnownRequest> requests;
    for (const auto& [digest, suspect] : ledger_.suspects) {
        const auto ends = suspect.latest + suspects::condemnationTime(suspect.numCrashes);
        requests.push_back({digest, suspect.numCrashes, now < ends, std::max(ends - now, Duration::zero())});
    }
    std::sort(requests.begin(), requests.end(),
              [](const auto& left, const auto& right) { return left.crashes > right.crashes; });
    return requests;
}

void CrashExchange::set_metrics(TimePoint now) const {
    const auto requests = remembered(now);
    const auto condemned = std::count_if(requests.begin(), requests.end(),
                                         [](const KnownRequest& each) { return each.is_condemned; });
    context_.metrics.set_suspects("condemned", static_cast<std::size_t>(condemned));
    context_.metrics.set_suspects("suspected", requests.size() - static_cast<std::size_t>(condemned));
}

bool CrashExchange::record_crashes(const RequestIdentity& request, unsigned crashes, Duration age,
                                   const char* source) {
    const auto now = TimePoint::clock::now();
    const bool was_condemned = is_condemned(now, request);
    suspects::recordCrashes(ledger_, now, request, crashes, age);
    const bool is_new = !was_condemned && is_condemned(now, request);
    if (is_new) {
        log_event(Event::kRequestCondemned, {{"digest", request.digest.text()},
                                             {"crashes", std::to_string(crashes)},
                                             {"age_ms", std::to_string(to_milliseconds(age))},
                                             {"source", source}});
    }
    return is_new;
}

void CrashExchange::on_crash(const std::vector<suspects::CrashedRun>& runs) {
    for (const auto& run : suspects::likelyCauses(runs)) {
        if (record_crashes(run.request, run.crashesBefore + 1, Duration::zero(), "crash")) {
            net::EventLoop::spawn([this, request = run.request] { store_verdict(request); });
        }
    }
    set_metrics(TimePoint::clock::now());
    // Reported at once, because the request may already be in flight to another machine.
    report_to_all();
    changed_.notify();
}

void CrashExchange::on_reported_crashes(const RequestIdentity& request, unsigned crashes) {
    // Known crashes may have been reported by another caller; recording them again would attribute them to
    // this caller.
    if (crashes > crashes_of(TimePoint::clock::now(), request)) {
        record_crashes(request, crashes, Duration::zero(), "daemon");
    }
}

void CrashExchange::on_answered(const RequestIdentity& request) {
    const auto now = TimePoint::clock::now();
    const auto crashes = crashes_of(now, request);
    if (crashes == 0 || !suspects::recordAnswered(ledger_, now, request)) {
        return;
    }
    log_event(Event::kRequestCleared,
              {{"digest", request.digest.text()}, {"crashes", std::to_string(crashes)}});
    if (crashes >= suspects::crashesToCondemn) {
        net::EventLoop::spawn([this, digest = request.digest] { remove_verdict(digest); });
    }
    changed_.notify();
}

bool CrashExchange::lift(const RequestDigest& digest) {
    if (!suspects::clearRequest(ledger_, TimePoint::clock::now(), digest)) {
        return false;
    }
    log_event(Event::kRequestCleared, {{"digest", digest.text()}, {"by", "operator"}});
    net::EventLoop::spawn([this, digest] { remove_verdict(digest); });
    changed_.notify();
    return true;
}

void CrashExchange::on_report(const suspects::CrashReport& report) {
    const auto now = TimePoint::clock::now();
    for (const auto& each : report.cleared) {
        suspects::recordCleared(ledger_, now, {each.digest, CallerDigest(each.caller)},
                                milliseconds(each.ageMs));
    }
    for (const auto& each : report.suspects) {
        for (const auto& it : each.callers) {
            record_crashes({each.digest, CallerDigest(it.caller)}, each.numCrashes, milliseconds(each.ageMs),
                           "peer");
        }
    }
    set_metrics(now);
}

void CrashExchange::on_peer_appeared(const Endpoint& gossip) {
    const auto report = suspects::reportOf(ledger_, TimePoint::clock::now());
    if (!report.empty()) {
        send_(gossip, encode(report));
    }
}

void CrashExchange::on_stored(const std::vector<store::StoreItem>& items, bool may_remove) {
    for (const auto& item : items) {
        const auto digest = parse_request_digest(
            std::string_view(item.key).substr(std::min(item.key.size(), kVerdictPrefix.size())));
        const auto verdict = suspects::decodeStoredVerdict(item.value);
        if (!digest || !verdict) {
            log_event(Event::kVerdictStored, {{"key", item.key}, {"outcome", "not a verdict"}});
            continue;
        }
        const milliseconds age(std::max<std::int64_t>(0, unix_milliseconds() - verdict->latestUnixMs));
        const bool is_over =
            age > suspects::condemnationTime(verdict->numCrashes) + suspects::suspectLifetime;
        if (is_over && may_remove) {
            store_.remove(item.key, item.revision, store_call_deadline());
        }
        for (const auto caller : verdict->callers) {
            if (!is_over) {
                record_crashes({*digest, caller}, verdict->numCrashes, age, "store");
            }
        }
    }
}

void CrashExchange::report_to_all() {
    const auto report = suspects::reportOf(ledger_, TimePoint::clock::now());
    if (report.empty()) {
        return;
    }
    const auto bytes = encode(report);
    for (const auto& peer : directory_.addresses()) {
        send_(peer.gossip, bytes);
    }
}

void CrashExchange::report_changes() {
    while (true) {
        if (!changed_.wait_until(TimePoint::clock::now() + kPeerReportInterval)) {
            continue;
        }
        report_to_all();
        boost::this_fiber::sleep_for(kMinReportInterval);
        // Repeated, because datagrams of the first round may have been lost.
        report_to_all();
        boost::this_fiber::sleep_for(kMinReportInterval);
    }
}

void CrashExchange::report_to_one_periodically() {
    while (true) {
        const std::chrono::duration<double> period = kPeerReportInterval * (0.5 + context_.random_unit());
        boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(period));
        const auto now = TimePoint::clock::now();
        suspects::expire(ledger_, now);
        set_metrics(now);
        if (ledger_.suspects.empty() && ledger_.cleared.empty()) {
            continue;
        }
        const auto peers = directory_.addresses();
        if (!peers.empty()) {
            const auto chosen =
                static_cast<std::size_t>(context_.random_unit() * static_cast<double>(peers.size()));
            on_peer_appeared(peers[std::min(chosen, peers.size() - 1)].gossip);
        }
    }
}

void CrashExchange::store_verdict(const RequestIdentity& request) {
    const auto key = verdict_key(request.digest);
    const auto found = ledger_.suspects.find(request.digest);
    if (found == ledger_.suspects.end()) {
        return;
    }
    const auto value =
        encode(suspects::StoredVerdict{found->second.numCrashes, unix_milliseconds(), found->second.callers});
    auto outcome = store::CallOutcome::kUnknown;
    while (outcome != store::CallOutcome::kDone && is_condemned(TimePoint::clock::now(), request)) {
        outcome = store_.write({{key, value}}, store_call_deadline()).outcome;
        log_event(
            Event::kVerdictStored,
            {{"key", key}, {"verdict", value}, {"outcome", std::string(store::call_outcome_name(outcome))}});
        if (outcome != store::CallOutcome::kDone) {
            boost::this_fiber::sleep_for(kStoreRetryPause);
        }
    }
}

void CrashExchange::remove_verdict(const RequestDigest& digest) {
    const auto found = store_.read(verdict_key(digest), store::ReadMode::kLatest, store_call_deadline());
    auto outcome = found.outcome;
    if (outcome == store::CallOutcome::kDone) {
        outcome = store_.remove(verdict_key(digest), found.item.revision, store_call_deadline()).outcome;
    }
    log_event(Event::kVerdictStored, {{"key", verdict_key(digest)},
                                      {"verdict", "removed"},
                                      {"outcome", std::string(store::call_outcome_name(outcome))}});
}

}  // namespace anisehold::sidecar
