/// @file
/// Gets tokens of tenants' quotas from the daemons that own them, and grants those of the tenants that this
/// one owns.
///
/// Owns the token caches, the buckets of the tenants owned here, and what is known of silent owners. Relies
/// on the list of members (membership/peer_directory) and on datagrams, of which some may be lost.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "membership/peer_directory.hpp"
#include "net/fiber_event.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/sidecar_context.hpp"
#include "tenancy/quota_bucket.hpp"
#include "tenancy/quota_owner.hpp"
#include "tenancy/tenancy_messages.hpp"
#include "tenancy/token_cache.hpp"

namespace anisehold::sidecar {

/// What becomes of a request that needs a token.
struct QuotaDecision {
    enum class Verdict {
        kServe,
        kExceeded,  ///< The tenant has used up its quota.
        kUnknown,   ///< No owner could be asked.
    };
    Verdict verdict = Verdict::kServe;
    Duration retry_after{};  ///< Unless served.
};

/// Requests of a tenant that come while a round is under way wait for its end, and share the next one.
class QuotaExchange {
  public:
    using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

    QuotaExchange(SidecarContext& context, ConfigurationHolder& configuration,
                  membership::PeerDirectory& directory)
        : context_(context), configuration_(configuration), directory_(directory) {}

    void start(Send send);
    /// Takes a token for a request of the tenant; blocks the fiber until `latest` at most.
    QuotaDecision take(const tenancy::TenantTerms& tenant, TimePoint latest);
    /// A request that had taken a token has not run and never will.
    void give_back(const tenancy::TenantName& tenant);

    /// A peer requests tokens, or replies to such a request.
    void on_request(const tenancy::QuotaRequest& request);
    void on_reply(const tenancy::QuotaReply& reply);

  private:
    /// One request for tokens, with its retries, and all that wait for it.
    struct Round {
        net::FiberEvent ended;
        net::FiberEvent replied;
        std::optional<tenancy::QuotaReply> reply;
        bool found_owner = false;
    };
    struct Account {
        tenancy::TokenCache cache;
        unsigned waiting = 0;
        std::shared_ptr<Round> round;  ///< The one under way.
    };
    /// The fleet as the choice of owners sees it, made anew every now and then.
    struct FleetView {
        tenancy::OwnerCandidates candidates;
        std::vector<Endpoint> addresses;  ///< Of `candidates.names`.
        TimePoint made;
        TimePoint settled;  ///< Since when it is the same.
    };
    struct Owner {
        std::string name;
        Endpoint gossip;
    };

    void begin_round(const tenancy::TenantTerms& tenant, Account& account);
    /// Requests tokens from the owner, and from the next one if it is silent; blocks its fiber. Ends the
    /// round.
    void run_round(const tenancy::TenantName& tenant, std::optional<Owner> owner,
                   const std::shared_ptr<Round>& round);
    /// The owner didn't reply: it is passed over for a time. Returns the one that is asked next.
    std::optional<Owner> suspect(const tenancy::TenantName& tenant, const Owner& owner);
    enum class RequestOutcome {
        kGranted,   ///< The owner counted, whatever it gave.
        kDeclined,  ///< It doesn't count for the tenant, or not yet.
        kNoReply,
    };
    RequestOutcome request_tokens(const tenancy::TenantName& tenant, Account& account,
                                  const std::shared_ptr<Round>& round, const Owner& owner);
    /// Notes that an owner replied. An owner that didn't reply to this daemon is trusted again if the next
    /// one has heard it: 180 ms without a reply may be one of them being short of processor time.
    void trust_owners(const Owner& owner, const tenancy::QuotaReply& reply);
    static void take_reply(Account& account, TimePoint sent, const tenancy::QuotaReply& reply);
    /// A peer got no reply from another daemon that owns the tenant: finds out whether that one is there.
    /// Until that is known, this one grants a part of the rate only.
    void look_for_owner(const tenancy::TenantName& tenant);
    /// Counts as the owner.
    tenancy::QuotaReply grant(const tenancy::TenantName& tenant, unsigned wanted, unsigned returned);
    /// Notices changes of the fleet also while nothing is requested: a new owner's first tokens depend on how
    /// long ago the last one was.
    void review_fleet();
    const FleetView& fleet(TimePoint now);
    std::optional<Owner> owner_of(TimePoint now, const tenancy::TenantName& tenant);
    bool is_suspected(TimePoint now, const membership::FleetMember& member) const;
    Duration refusal_pause(TimePoint now, const tenancy::TokenCache& cache);

    SidecarContext& context_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    Send send_;
    std::unordered_map<tenancy::TenantName, Account> accounts_;
    std::unordered_map<tenancy::TenantName, tenancy::QuotaBucket> buckets_;  ///< Of tenants owned here.
    std::map<std::string, TimePoint> suspected_;  ///< Peers that didn't reply, and since when.
    std::map<std::string, TimePoint> replied_;    ///< When peers last replied as owners.
    FleetView fleet_;
    TimePoint started_ = TimePoint::clock::now();
};

}  // namespace anisehold::sidecar
