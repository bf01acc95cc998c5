#include "sidecar/proof_keeper.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;
using store::CallOutcome;

/// Age at which a watcher renews its proof. With a request to a watcher every `kRequestPeriod`, the proofs of
/// the other daemons are mostly younger than 2 s, which leaves about 3 s of a revocation time of 5 s for an
/// outage. The ages and periods here led to 703 to 1,359 calls to the store a day at 71 daemons, at a cost of
/// 0.006 to 0.009 (docs/design/tenants.md).
constexpr milliseconds kWatcherReadAge{1'000};
/// Random addition to the watchers' age: watchers also ask each other, so that one read serves several of
/// them.
constexpr milliseconds kWatcherReadSpread{400};
/// Minimum age at which any other daemon reads: by then, no watcher has replied for a second.
constexpr milliseconds kNonWatcherReadAge{2'300};
/// Random addition per known peer: a fleet of 50 or more daemons spreads its reads over the whole of
/// `kMaxNonWatcherReadSpread`.
constexpr milliseconds kNonWatcherReadSpreadPerPeer{30};
constexpr milliseconds kMaxNonWatcherReadSpread{1'500};
/// Timeout of a read. Longer reads prove little, because the proof counts from their start.
constexpr milliseconds kReadTimeout{1'000};
/// Pauses after failed reads: short at a watcher, since its zone waits for the store to return.
constexpr milliseconds kWatcherRetryPause{300};
constexpr milliseconds kNonWatcherRetryPause{800};
/// Interval of requests to a watcher; adds to the age of the proof.
constexpr milliseconds kRequestPeriod{700};
/// Age at which the last reply must have been lost or its watcher has no proof itself, and the interval of
/// requests from then on.
constexpr milliseconds kOldProofAge{1'900};
constexpr milliseconds kOldProofRequestPeriod{200};
/// Interval at which the loops check whether an action is due.
constexpr milliseconds kCheckInterval{200};

}  // namespace

void ProofKeeper::start(Send send) {
    send_ = std::move(send);
    read_spread_ = context_.random_unit();
    net::EventLoop::spawn([this] { read_periodically(); });
    net::EventLoop::spawn([this] { request_periodically(); });
}

bool ProofKeeper::is_needed() const {
    const auto configuration = configuration_.current();
    return max_age() && configuration && configuration->has_tenants();
}

std::optional<Duration> ProofKeeper::max_age() const {
    const auto revocation = context_.settings.key_revocation;
    if (revocation <= milliseconds(0) || !context_.has(config::Mechanism::kKeyFreshness)) {
        return std::nullopt;
    }
    return tenancy::maxProofAge(revocation);
}

Duration ProofKeeper::age_or_max(TimePoint now) const {
    return tenancy::proofAge(state_, now).value_or(Duration::max());
}

Duration ProofKeeper::own_read_age() const {
    if (context_.store.watches()) {
        const std::chrono::duration<double> spread = kWatcherReadSpread * read_spread_;
        return kWatcherReadAge + std::chrono::duration_cast<Duration>(spread);
    }
    const auto by_fleet = kNonWatcherReadSpreadPerPeer * static_cast<long long>(directory_.known_count());
    const std::chrono::duration<double> spread =
        std::min<milliseconds>(by_fleet, kMaxNonWatcherReadSpread) * read_spread_;
    return kNonWatcherReadAge + std::chrono::duration_cast<Duration>(spread);
}

void ProofKeeper::read_periodically() {
    while (true) {
        const auto now = TimePoint::clock::now();
        const bool is_due = is_needed() && age_or_max(now) >= own_read_age();
        if (!is_due) {
            boost::this_fiber::sleep_for(kCheckInterval);
            continue;
        }
        const bool read = read_once();
        read_spread_ = context_.random_unit();
        if (!read) {
            const auto pause = context_.store.watches() ? kWatcherRetryPause : kNonWatcherRetryPause;
            const std::chrono::duration<double> jittered = pause * (0.5 + context_.random_unit());
            boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(jittered));
        }
        // A settings change may have removed the bound during the read.
        const auto bound = max_age();
        const bool is_proven = !bound || tenancy::isProven(state_, TimePoint::clock::now(), *bound);
        if (is_proven != was_proven_) {
            was_proven_ = is_proven;
            log_event(is_proven ? Event::kKeysProven : Event::kKeysUnproven,
                      {{"version", std::to_string(configuration_.version())}});
        }
    }
}

bool ProofKeeper::read_once() {
    const auto begun = TimePoint::clock::now();
    const auto reply =
        store_.read(context_.dialect.configuration_key(), store::ReadMode::kLatest, begun + kReadTimeout);
    if (reply.outcome != CallOutcome::kDone) {
        return false;
    }
    // An unchanged configuration isn't parsed again, because parsing a large one takes milliseconds.
    const bool is_known = reply.item.revision == read_revision_;
    if (!is_known &&
        configuration_.offer(reply.item.value, ConfigurationSource::kStore) == OfferOutcome::kRejected) {
        return false;
    }
    on_read(begun, reply.item.revision);
    return true;
}

void ProofKeeper::on_read(TimePoint begun, std::uint64_t revision) {
    read_revision_ = std::max(read_revision_, revision);
    tenancy::recordProof(state_, begun);
}

void ProofKeeper::request_periodically() {
    while (true) {
        const auto age = age_or_max(TimePoint::clock::now());
        const bool is_old = age >= kOldProofAge;
        if (is_needed() && age >= kRequestPeriod) {
            request_proof();
        }
        const std::chrono::duration<double> period =
            (is_old || context_.store.watches() ? kOldProofRequestPeriod : kRequestPeriod) *
            (0.9 + 0.2 * context_.random_unit());
        boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(period));
    }
}

void ProofKeeper::request_proof() {
    const auto now = TimePoint::clock::now();
    const auto members = directory_.members(now);
    const bool is_old = age_or_max(now) >= kOldProofAge;
    std::vector<const membership::FleetMember*> candidates;
    // With an old proof, any peer may be asked, because the known watchers may have no proof themselves.
    for (const bool local : {true, false}) {
        for (const auto& member : members) {
            const bool may_know = member.watches_store || is_old;
            if (member.local == local && member.takes_requests && may_know) {
                candidates.push_back(&member);
            }
        }
        if (!candidates.empty() && !is_old && !context_.store.watches()) {
            break;
        }
    }
    if (candidates.empty()) {
        return;
    }
    const auto chosen =
        static_cast<std::size_t>(context_.random_unit() * static_cast<double>(candidates.size()));
    const tenancy::ProofRequest request{
        tenancy::requesterAt(now, context_.settings.advertised_gossip, context_.boot_id)};
    send_(candidates[chosen]->gossip, tenancy::encode(request));
}

void ProofKeeper::on_request(const tenancy::ProofRequest& request) {
    const auto age = tenancy::proofAge(state_, TimePoint::clock::now());
    if (!age || configuration_.version() == 0) {
        return;
    }
    tenancy::ProofReply reply;
    reply.requester = request.requester;
    reply.version = configuration_.version();
    // Rounded up, because the age grows while the reply is in flight.
    reply.ageMs = tenancy::roundedUpMs(*age);
    send_(request.requester.replyTo, tenancy::encode(reply));
}

void ProofKeeper::on_reply(const tenancy::ProofReply& reply) {
    const bool is_own = reply.requester.bootId == context_.boot_id;
    // A newer version isn't known here yet; records will announce it.
    if (!is_own || reply.version > configuration_.version()) {
        return;
    }
    tenancy::recordProof(state_, tenancy::sentAt(reply.requester), milliseconds(reply.ageMs));
}

}  // namespace anisehold::sidecar
