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

/// Timeout of one request to an owner, after which it is sent again. An owner replies within about 2 ms; the
/// reply may be late if the owner is busy, or missing if a datagram was lost.
constexpr milliseconds kReplyTimeout{60};
/// Unanswered requests after which the next owner is asked: 180 ms in all, so that the waiting call can still
/// be served in time.
constexpr int kMaxRequestsPerOwner = 3;
/// Maximum owners asked in one round: the second one is asked if the first is dead.
constexpr int kMaxOwnersPerRound = 2;
/// An owner that failed to reply is suspected for at least this time, and until it is seen again after the
/// failure.
constexpr milliseconds kSuspicionTime{1'000};
/// A daemon that can't read the member list assumes after this time that it is alone.
constexpr milliseconds kAloneTimeout{5'000};
/// Lifetime of a fleet view, and interval of its renewal while there are no requests.
constexpr milliseconds kViewLifetime{200};
constexpr milliseconds kReviewPeriod{500};
/// Bounds of the time for which an owner that had no token isn't asked again. With the minimum, 71 daemons
/// ask the owner of the busiest tenant about 1,400 times a second.
constexpr milliseconds kMinRefusalTime{5};
constexpr milliseconds kMaxRefusalTime = retry_after::kMinQuotaExceeded;
/// Fraction of the rate that a daemon grants for a tenant that is owned by another daemon according to its
/// own view. Operators tolerate an excess of this size; without the reduction, daemons with an outdated view
/// would double the quota.
constexpr double kDisputedOwnerShare = 0.1;

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

void QuotaExchange::return_token(const TenantName& tenant) {
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
        apply_reply(account, now,
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
    for (int owners = 0; owners < kMaxOwnersPerRound && owner && outcome == RequestOutcome::kNoReply;
         ++owners) {
        outcome = request_tokens(tenant, account, round, *owner);
        if (outcome == RequestOutcome::kNoReply) {
            owner = mark_suspected(tenant, *owner);
        }
    }
    round->found_owner = outcome == RequestOutcome::kGranted;
    account.round.reset();
    round->ended.set();
}

std::optional<QuotaExchange::Owner> QuotaExchange::mark_suspected(const TenantName& tenant,
                                                                  const Owner& owner) {
    const auto now = TimePoint::clock::now();
    suspected_[owner.name] = now;
    fleet_.created = TimePoint{};
    log_event(Event::kQuotaOwnerSilent, {{"tenant", tenant.value}, {"owner", owner.name}});
    return owner_of(now, tenant);
}

QuotaExchange::RequestOutcome QuotaExchange::request_tokens(const TenantName& tenant, Account& account,
                                                            const std::shared_ptr<Round>& round,
                                                            const Owner& owner) {
    if (owner.name == context_.settings.name) {
        apply_reply(account, TimePoint::clock::now(),
                    grant(tenant, tenancy::tokensWanted(account.cache, account.waiting), 0));
        return RequestOutcome::kGranted;
    }
    const auto returned = std::exchange(account.cache.unused, 0);
    for (int requests = 0; requests < kMaxRequestsPerOwner; ++requests) {
        const auto sent = TimePoint::clock::now();
        tenancy::QuotaRequest request;
        request.requester = tenancy::requesterAt(sent, context_.settings.advertised_gossip, context_.boot_id);
        request.tenant = tenant.value;
        request.wanted = tenancy::tokensWanted(account.cache, account.waiting);
        // Unused tokens are returned only once: the request may have been received even if its reply was
        // lost.
        request.returned = requests == 0 ? returned : 0;
        send_(owner.gossip, tenancy::encode(request));
        if (round->replied.wait_until(sent + kReplyTimeout)) {
            record_owner_reply(owner, *round->reply);
            if (!round->reply->owns) {
                return RequestOutcome::kDeclined;
            }
            apply_reply(account, tenancy::sentAt(round->reply->requester), *round->reply);
            return RequestOutcome::kGranted;
        }
    }
    return RequestOutcome::kNoReply;
}

void QuotaExchange::record_owner_reply(const Owner& owner, const QuotaReply& reply) {
    replied_[owner.name] = TimePoint::clock::now();
    if (!reply.firstOwner.empty() && suspected_.erase(reply.firstOwner) > 0) {
        fleet_.created = TimePoint{};
    }
}

void QuotaExchange::apply_reply(Account& account, TimePoint sent, const QuotaReply& reply) {
    const auto now = TimePoint::clock::now();
    tenancy::addGrant(account.cache, sent, reply.granted);
    account.cache.retryAt = now + milliseconds(reply.retryAfterMs);
    if (reply.granted == 0) {
        const milliseconds until_next(reply.untilNextMs);
        account.cache.refusedUntil = now + std::clamp(until_next, kMinRefusalTime, kMaxRefusalTime);
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
        check_owner(tenant);
    }
}

void QuotaExchange::check_owner(const TenantName& tenant) {
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
        quota.ratePerS *= kDisputedOwnerShare;
        quota.burst *= kDisputedOwnerShare;
        const auto replied = replied_.find(owner->name);
        if (replied != replied_.end() && now - replied->second < kSuspicionTime) {
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
            : buckets_.emplace(tenant, tenancy::makeBucket(quota, now, fleet_.stable_since)).first->second;
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
           (now - found->second < kSuspicionTime || member.last_seen < found->second);
}

const QuotaExchange::FleetView& QuotaExchange::fleet(TimePoint now) {
    if (now - fleet_.created < kViewLifetime) {
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
        fleet_.stable_since = now;
        fleet_.candidates = std::move(candidates);
        fleet_.addresses = std::move(addresses);
        // A new owner starts with a new bucket, because the tokens granted by the previous owner are unknown.
        std::erase_if(buckets_, [&](const auto& entry) {
            const auto owner = tenancy::ownerOf(fleet_.candidates, entry.first);
            return !owner || fleet_.candidates.names[*owner] != context_.settings.name;
        });
    }
    fleet_.candidates.reachable = reachable;
    fleet_.candidates.members = members.size() + 1;
    fleet_.created = now;
    return fleet_;
}

std::optional<QuotaExchange::Owner> QuotaExchange::owner_of(TimePoint now, const TenantName& tenant) {
    const auto& view = fleet(now);
    // A daemon that has just started and knows no peers must not assume that it is the whole fleet.
    if (!context_.store.has_listed() && now - started_ < kAloneTimeout) {
        return std::nullopt;
    }
    const auto owner = tenancy::ownerOf(view.candidates, tenant);
    if (!owner) {
        return std::nullopt;
    }
    return Owner{view.candidates.names[*owner], view.addresses[*owner]};
}

}  // namespace anisehold::sidecar
