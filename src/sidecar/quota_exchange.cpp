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
/// Unanswered requests after which the owner counts as silent for this round.
constexpr int kMaxRequestsPerOwner = 3;
/// Pause before an owner is asked again that has no share of the quota yet, or did not reply.
constexpr milliseconds kOwnerRetryPause{30};
/// A daemon that can't read the member list assumes after this time that it is alone.
constexpr milliseconds kAloneTimeout{5'000};
/// Interval at which changes of members, tenants and leases are noticed.
constexpr milliseconds kLeaseCheckInterval{50};
constexpr milliseconds kMemberReviewInterval{200};
/// Bounds of the time for which an owner that had no token isn't asked again. With the minimum, 71 daemons
/// ask the owner of the busiest tenant about 1,400 times a second.
constexpr milliseconds kMinRefusalTime{5};
constexpr milliseconds kMaxRefusalTime = retry_after::kMinQuotaExceeded;

}  // namespace

void QuotaExchange::start(Send send) {
    send_ = std::move(send);
    net::EventLoop::spawn([this] { exchange_leases(); });
}

void QuotaExchange::exchange_leases() {
    while (true) {
        const auto now = TimePoint::clock::now();
        if (now - reviewed_ >= kMemberReviewInterval) {
            review_fleet(now);
        }
        if (!tenants_.empty()) {
            fill_buckets(now);
            send_updates(now);
        }
        boost::this_fiber::sleep_for(kLeaseCheckInterval);
    }
}

void QuotaExchange::review_fleet(TimePoint now) {
    reviewed_ = now;
    const auto configuration = configuration_.current();
    tenants_.clear();
    // A daemon that has just started and knows no peers must not assume that it is the whole fleet.
    const bool knows_members = context_.store.has_listed() || now - started_ >= kAloneTimeout;
    if (!configuration || !knows_members || !context_.has(config::Mechanism::kQuotas)) {
        return;
    }
    for (const auto& [name, terms] : configuration->keys.tenants) {
        if (terms.quota.isLimited()) {
            tenants_.insert(name);
        }
    }
    addresses_.clear();
    std::set<std::string> names;
    for (const auto& member : directory_.members(now)) {
        addresses_[member.name] = member.gossip;
        names.insert(member.name);
    }
    leases_.setMembers(names);
    if (context_.stop.is_leaving()) {
        leases_.leave();
    }
}

void QuotaExchange::send_updates(TimePoint now) {
    if (now < next_updates_) {
        send_changes(now);
        return;
    }
    const std::chrono::duration<double> period =
        leases_.times().period * (0.9 + 0.2 * context_.random_unit());
    next_updates_ = now + std::chrono::duration_cast<Duration>(period);
    for (const auto& member : leases_.contacts(now)) {
        send_update(member);
    }
}

void QuotaExchange::send_changes(TimePoint now) {
    for (const auto& member : leases_.membersToUpdate(now)) {
        send_update(member);
    }
}

void QuotaExchange::send_update(const std::string& member) {
    const auto address = addresses_.find(member);
    if (address != addresses_.end()) {
        send_(address->second, tenancy::encode(leases_.updateFor(TimePoint::clock::now(), member)));
    }
}

void QuotaExchange::on_lease_update(const tenancy::LeaseUpdate& update) {
    const auto now = TimePoint::clock::now();
    if (!leases_.receive(now, update)) {
        return;
    }
    send_update(update.sender);
    send_changes(now);
}

void QuotaExchange::fill_buckets(TimePoint now) {
    const auto configuration = configuration_.current();
    for (const auto& tenant : tenants_) {
        const auto* terms = configuration ? tenancy::termsOf(configuration->keys, tenant) : nullptr;
        const bool counts = buckets_.contains(tenant) ||
                            leases_.ownerOf(now, tenancy::groupOf(tenant)) == context_.settings.name;
        if (terms != nullptr && terms->quota.isLimited() && counts) {
            bucket_of(now, *terms);
        }
    }
}

tenancy::QuotaBucket* QuotaExchange::bucket_of(TimePoint now, const TenantTerms& terms) {
    const double share = leases_.shareOf(now, tenancy::groupOf(terms.name));
    if (share <= 0) {
        buckets_.erase(terms.name);
        return nullptr;
    }
    const auto found = buckets_.find(terms.name);
    if (found == buckets_.end()) {
        return &buckets_.emplace(terms.name, tenancy::makeBucket(terms.quota, now, share)).first->second;
    }
    tenancy::fillShare(found->second, now, terms.quota, share);
    return &found->second;
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
        wait_for_round(account.round, latest);
        --account.waiting;
        now = TimePoint::clock::now();
    }
    return {};
}

void QuotaExchange::wait_for_round(std::shared_ptr<Round> round, TimePoint latest) {
    if (!round) {
        return;
    }
    round->ended.wait_until(latest);
    if (round->ended.is_set() && !round->found_owner) {
        const auto pause_ends = TimePoint::clock::now() + kOwnerRetryPause;
        boost::this_fiber::sleep_until(on_steady_clock(std::min<TimePoint>(pause_ends, latest)));
    }
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
    if (take_own_grant(tenant.name, account)) {
        return;
    }
    const auto round = std::make_shared<Round>();
    account.round = round;
    net::EventLoop::spawn([this, name = tenant.name, round] { run_round(name, round); });
}

void QuotaExchange::run_round(const TenantName& tenant, const std::shared_ptr<Round>& round) {
    auto& account = accounts_[tenant];
    round->found_owner = request_tokens(tenant, account, round);
    account.round.reset();
    round->ended.set();
}

bool QuotaExchange::take_own_grant(const TenantName& tenant, Account& account) {
    const auto now = TimePoint::clock::now();
    if (leases_.ownerOf(now, tenancy::groupOf(tenant)) != context_.settings.name) {
        return false;
    }
    const auto reply = grant(tenant, tenancy::tokensWanted(account.cache, account.waiting),
                             std::exchange(account.cache.unused, 0));
    if (reply.owns) {
        apply_reply(account, now, reply);
    }
    return reply.owns;
}

bool QuotaExchange::request_tokens(const TenantName& tenant, Account& account,
                                   const std::shared_ptr<Round>& round) {
    const auto owner = leases_.ownerOf(TimePoint::clock::now(), tenancy::groupOf(tenant));
    const auto returned = std::exchange(account.cache.unused, 0);
    for (int requests = 0; requests < kMaxRequestsPerOwner; ++requests) {
        const auto address = addresses_.find(owner);
        if (address == addresses_.end()) {
            return false;
        }
        const auto sent = TimePoint::clock::now();
        tenancy::QuotaRequest request;
        request.requester = tenancy::requesterAt(sent, context_.settings.advertised_gossip, context_.boot_id);
        request.tenant = tenant.value;
        request.wanted = tenancy::tokensWanted(account.cache, account.waiting);
        // Unused tokens are returned only once: the request may have been received even if its reply was
        // lost.
        request.returned = requests == 0 ? returned : 0;
        send_(address->second, tenancy::encode(request));
        if (round->replied.wait_until(sent + kReplyTimeout)) {
            if (round->reply->owns) {
                apply_reply(account, tenancy::sentAt(round->reply->requester), *round->reply);
            }
            return round->reply->owns;
        }
    }
    log_event(Event::kQuotaOwnerSilent, {{"tenant", tenant.value}, {"owner", owner}});
    return false;
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
    auto reply = grant(TenantName(request.tenant), request.wanted, request.returned);
    reply.requester = request.requester;
    send_(request.requester.replyTo, tenancy::encode(reply));
}

QuotaReply QuotaExchange::grant(const TenantName& tenant, unsigned wanted, unsigned returned) {
    const auto now = TimePoint::clock::now();
    QuotaReply reply;
    reply.tenant = tenant.value;
    const auto configuration = configuration_.current();
    const auto* terms = configuration ? tenancy::termsOf(configuration->keys, tenant) : nullptr;
    // The others give this daemon's leases to another one as soon as they hear that it leaves.
    if (terms == nullptr || context_.stop.is_leaving()) {
        return reply;
    }
    if (!terms->quota.isLimited()) {
        reply.owns = true;
        reply.granted = wanted;
        return reply;
    }
    auto* bucket = bucket_of(now, *terms);
    if (bucket == nullptr) {
        return reply;
    }
    reply.owns = true;
    const auto share_terms = bucket->terms;
    tenancy::returnTokens(*bucket, now, share_terms, returned);
    const auto given = tenancy::takeTokens(*bucket, now, share_terms, wanted);
    reply.granted = given.granted;
    reply.untilNextMs = tenancy::roundedUpMs(given.untilNext);
    reply.retryAfterMs = tenancy::roundedUpMs(given.retryAfter);
    return reply;
}

}  // namespace anisehold::sidecar
