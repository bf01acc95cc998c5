#include "sidecar/quota_exchange.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "protocol/retry_after.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;
using tenancy::QuotaReply;
using tenancy::TenantName;
using tenancy::TenantTerms;
using Verdict = QuotaDecision::Verdict;

/// An owner replies within some two milliseconds; a busy one, or one whose datagram was lost, is asked again
/// after this time. Chosen, not measured.
constexpr milliseconds kReplyTimeout{60};
/// Requests without a reply after which another owner is asked: 180 ms, so that a request is still served in
/// time. Chosen, not measured.
constexpr int kMostRequests = 3;
/// Owners that are asked in one round: the second one if the first is dead.
constexpr int kMostOwners = 2;
/// A suspected owner is one again when it was heard at least this long after it didn't reply. Chosen, not
/// measured.
constexpr milliseconds kSuspicion{1'000};
/// A daemon that can't read the list of members counts as alone after this time. Chosen, not measured.
constexpr milliseconds kAloneAfter{5'000};
/// How long a view of the fleet is used, and how often it is made anew while nothing is requested. Chosen,
/// not measured.
constexpr milliseconds kViewLifetime{200};
constexpr milliseconds kReviewPeriod{500};
/// An owner that had no token isn't asked for this time at least and at most: at 71 daemons it is then asked
/// some 1,400 times a second for the busiest tenant, worked out.
constexpr milliseconds kLeastRefusal{5};
constexpr milliseconds kMostRefusal = retry_after::kMinQuotaExceeded;
/// Part of the rate that a daemon grants for a tenant whose owner is another one by its own view: as much as
/// operators let a quota be exceeded. So a wrong view of some daemons doesn't double a quota.
constexpr double kSecondOwnerPart = 0.1;

}  // namespace

void QuotaExchange::start(Send send) {
    send_ = std::move(send);
    net::EventLoop::spawn([this] { review_fleet(); });
}

void QuotaExchange::review_fleet() {
    while (true) {
        const auto configuration = configuration_.current();
        if (configuration && configuration->has_tenants()) {
            fleet(TimePoint::clock::now());
        }
        boost::this_fiber::sleep_for(kReviewPeriod);
    }
}

QuotaDecision QuotaExchange::take(const TenantTerms& tenant, TimePoint latest) {
    auto now = TimePoint::clock::now();
    auto& account = accounts_[tenant.name];
    tenancy::recordDemand(account.cache, now);
    while (!tenancy::takeToken(account.cache, now)) {
        if (now < account.cache.refusedUntil) {
            return {Verdict::kExceeded, refusal_pause(now, account.cache)};
        }
        if (now >= latest) {
            return {Verdict::kUnknown, retry_after::kQuotaUnknown};
        }
        ++account.waiting;
        if (!account.round) {
            begin_round(tenant, account);
        }
        if (const auto round = account.round) {
            round->ended.wait_until(latest);
            --account.waiting;
            if (round->ended.is_set() && !round->found_owner) {
                return {Verdict::kUnknown, retry_after::kQuotaUnknown};
            }
        } else {
            --account.waiting;
        }
        now = TimePoint::clock::now();
    }
    return {};
}

void QuotaExchange::give_back(const TenantName& tenant) {
    const auto found = accounts_.find(tenant);
    if (found != accounts_.end()) {
        tenancy::returnUnusedToken(found->second.cache);
    }
}

Duration QuotaExchange::refusal_pause(TimePoint now, const tenancy::TokenCache& cache) {
    const std::chrono::duration<double> pause = cache.retryAt - now;
    const auto spread = pause * (1.0 + retry_after::kQuotaSpread * context_.random_unit());
    return std::max<Duration>(std::chrono::duration_cast<Duration>(spread), retry_after::kMinQuotaExceeded);
}

void QuotaExchange::begin_round(const TenantTerms& tenant, Account& account) {
    const auto now = TimePoint::clock::now();
    const auto owner = owner_of(now, tenant.name);
    if (owner && owner->name == context_.settings.name) {
        const auto unused = std::exchange(account.cache.unused, 0);
        take_reply(account, now,
                   grant(tenant.name, tenancy::tokensWanted(account.cache, account.waiting), unused));
        return;
    }
    const auto round = std::make_shared<Round>();
    account.round = round;
    net::EventLoop::spawn([this, name = tenant.name, owner, round] { run_round(name, owner, round); });
}

void QuotaExchange::run_round(const TenantName& tenant, std::optional<Owner> owner,
                              const std::shared_ptr<Round>& round) {
    auto& account = accounts_[tenant];
    auto outcome = RequestOutcome::kNoReply;
    for (int owners = 0; owners < kMostOwners && owner && outcome == RequestOutcome::kNoReply; ++owners) {
        outcome = request_tokens(tenant, account, round, *owner);
        if (outcome == RequestOutcome::kNoReply) {
            owner = suspect(tenant, *owner);
        }
    }
    round->found_owner = outcome == RequestOutcome::kGranted;
    account.round.reset();
    round->ended.set();
}

std::optional<QuotaExchange::Owner> QuotaExchange::suspect(const TenantName& tenant, const Owner& owner) {
    const auto now = TimePoint::clock::now();
    suspected_[owner.name] = now;
    fleet_.made = TimePoint{};
    log_event(Event::kQuotaOwnerSilent, {{"tenant", tenant.value}, {"owner", owner.name}});
    return owner_of(now, tenant);
}

QuotaExchange::RequestOutcome QuotaExchange::request_tokens(const TenantName& tenant, Account& account,
                                                            const std::shared_ptr<Round>& round,
                                                            const Owner& owner) {
    if (owner.name == context_.settings.name) {
        take_reply(account, TimePoint::clock::now(),
                   grant(tenant, tenancy::tokensWanted(account.cache, account.waiting), 0));
        return RequestOutcome::kGranted;
    }
    const auto returned = std::exchange(account.cache.unused, 0);
    for (int requests = 0; requests < kMostRequests; ++requests) {
        const auto sent = TimePoint::clock::now();
        tenancy::QuotaRequest request;
        request.requester = tenancy::requesterAt(sent, context_.settings.advertised_gossip, context_.boot_id);
        request.tenant = tenant.value;
        request.wanted = tenancy::tokensWanted(account.cache, account.waiting);
        // Returned once only: a request whose reply was lost may have been heard.
        request.returned = requests == 0 ? returned : 0;
        send_(owner.gossip, tenancy::encode(request));
        if (round->replied.wait_until(sent + kReplyTimeout)) {
            trust_owners(owner, *round->reply);
            if (!round->reply->owns) {
                return RequestOutcome::kDeclined;
            }
            take_reply(account, tenancy::sentAt(round->reply->requester), *round->reply);
            return RequestOutcome::kGranted;
        }
    }
    return RequestOutcome::kNoReply;
}

void QuotaExchange::trust_owners(const Owner& owner, const QuotaReply& reply) {
    replied_[owner.name] = TimePoint::clock::now();
    if (!reply.firstOwner.empty() && suspected_.erase(reply.firstOwner) > 0) {
        fleet_.made = TimePoint{};
    }
}

void QuotaExchange::take_reply(Account& account, TimePoint sent, const QuotaReply& reply) {
    const auto now = TimePoint::clock::now();
    tenancy::addGrant(account.cache, sent, reply.granted);
    account.cache.retryAt = now + milliseconds(reply.retryAfterMs);
    if (reply.granted == 0) {
        const milliseconds until_next(reply.untilNextMs);
        account.cache.refusedUntil = now + std::clamp(until_next, kLeastRefusal, kMostRefusal);
    }
}

void QuotaExchange::on_reply(const QuotaReply& reply) {
    const auto found = accounts_.find(TenantName(reply.tenant));
    const bool is_own = reply.requester.bootId == context_.boot_id;
    if (!is_own || found == accounts_.end() || !found->second.round) {
        return;
    }
    found->second.round->reply = reply;
    found->second.round->replied.set();
}

void QuotaExchange::on_request(const tenancy::QuotaRequest& request) {
    const TenantName tenant(request.tenant);
    auto reply = grant(tenant, request.wanted, request.returned);
    reply.requester = request.requester;
    send_(request.requester.replyTo, tenancy::encode(reply));
    const auto owner = owner_of(TimePoint::clock::now(), tenant);
    if (reply.owns && owner && owner->name != context_.settings.name) {
        look_for_owner(tenant);
    }
}

void QuotaExchange::look_for_owner(const TenantName& tenant) {
    const auto configuration = configuration_.current();
    const auto* terms = tenancy::termsOf(configuration->keys, tenant);
    if (terms == nullptr) {
        return;
    }
    auto& account = accounts_[tenant];
    if (!account.round) {
        begin_round(*terms, account);
    }
}

QuotaReply QuotaExchange::grant(const TenantName& tenant, unsigned wanted, unsigned returned) {
    const auto now = TimePoint::clock::now();
    QuotaReply reply;
    reply.tenant = tenant.value;
    const auto configuration = configuration_.current();
    const auto* terms = configuration ? tenancy::termsOf(configuration->keys, tenant) : nullptr;
    const auto owner = owner_of(now, tenant);
    if (terms == nullptr || context_.stop.is_leaving() || !owner) {
        return reply;
    }
    auto quota = terms->quota;
    if (owner->name != context_.settings.name) {
        quota.ratePerS *= kSecondOwnerPart;
        quota.burst *= kSecondOwnerPart;
        const auto replied = replied_.find(owner->name);
        if (replied != replied_.end() && now - replied->second < kSuspicion) {
            reply.firstOwner = owner->name;
        }
    }
    reply.owns = true;
    if (!quota.isLimited()) {
        reply.granted = wanted;
        return reply;
    }
    const auto found = buckets_.find(tenant);
    auto& bucket =
        found != buckets_.end()
            ? found->second
            : buckets_.emplace(tenant, tenancy::makeBucket(quota, now, fleet_.settled)).first->second;
    tenancy::returnTokens(bucket, now, quota, returned);
    const auto given = tenancy::takeTokens(bucket, now, quota, wanted);
    reply.granted = given.granted;
    reply.untilNextMs = tenancy::roundedUpMs(given.untilNext);
    reply.retryAfterMs = tenancy::roundedUpMs(given.retryAfter);
    return reply;
}

bool QuotaExchange::is_suspected(TimePoint now, const membership::FleetMember& member) const {
    const auto found = suspected_.find(member.name);
    return found != suspected_.end() &&
           (now - found->second < kSuspicion || member.last_seen < found->second);
}

const QuotaExchange::FleetView& QuotaExchange::fleet(TimePoint now) {
    if (now - fleet_.made < kViewLifetime) {
        return fleet_;
    }
    const auto members = directory_.members(now);
    tenancy::OwnerCandidates candidates;
    std::vector<Endpoint> addresses;
    candidates.members = members.size() + 1;
    candidates.reachable = 1;
    if (!context_.stop.is_leaving()) {
        candidates.names.push_back(context_.settings.name);
        addresses.push_back(context_.settings.advertised_gossip);
    }
    for (const auto& member : members) {
        candidates.reachable += member.takes_requests ? 1 : 0;
        if (is_suspected(now, member)) {
            continue;
        }
        candidates.names.push_back(member.name);
        addresses.push_back(member.gossip);
    }
    const auto reachable = candidates.reachable;
    if (candidates.names != fleet_.candidates.names) {
        fleet_.settled = now;
        fleet_.candidates = std::move(candidates);
        fleet_.addresses = std::move(addresses);
        // A new owner begins with a new bucket: what was granted meanwhile isn't known.
        std::erase_if(buckets_, [&](const auto& entry) {
            const auto owner = tenancy::ownerOf(fleet_.candidates, entry.first);
            return !owner || fleet_.candidates.names[*owner] != context_.settings.name;
        });
    }
    fleet_.candidates.reachable = reachable;
    fleet_.candidates.members = members.size() + 1;
    fleet_.made = now;
    return fleet_;
}

std::optional<QuotaExchange::Owner> QuotaExchange::owner_of(TimePoint now, const TenantName& tenant) {
    const auto& view = fleet(now);
    // A daemon that has just started and knows nobody isn't the whole fleet.
    if (!context_.store.has_listed() && now - started_ < kAloneAfter) {
        return std::nullopt;
    }
    const auto owner = tenancy::ownerOf(view.candidates, tenant);
    if (!owner) {
        return std::nullopt;
    }
    return Owner{view.candidates.names[*owner], view.addresses[*owner]};
}

}  // namespace anisehold::sidecar
