/// @file
/// Requests quota tokens from the daemons that own the tenants, and grants tokens for the tenants owned by
/// this daemon.
///
/// Owns the token caches, the buckets of the tenants owned here, and the list of unresponsive owners. Relies
/// on the member list (membership/peer_directory) and on datagrams, which may be lost.
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

/// Decision on a request that needs a token.
struct QuotaDecision {
    enum class Verdict {
        kServe,
        kExceeded,  ///< The tenant has used up its quota.
        kUnknown,   ///< No owner replied.
    };
    Verdict verdict = Verdict::kServe;
    Duration retry_after{};  ///< Set unless the request is served.
};

/// Requests of a tenant that arrive during a round wait for its end, and share the next round.
class QuotaExchange {
  public:
    using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

    QuotaExchange(SidecarContext& context, ConfigurationHolder& configuration,
                  membership::PeerDirectory& directory)
        : context_(context), configuration_(configuration), directory_(directory) {}

    void start(Send send);
    /// Takes a token for a request of the tenant; blocks the fiber until `latest` at most.
    QuotaDecision take(const tenancy::TenantTerms& tenant, TimePoint latest);
    /// Returns the token of a request that has not run and never will.
    void return_token(const tenancy::TenantName& tenant);

    /// Handles a peer's request for tokens, and a reply to a request of this daemon.
    void on_request(const tenancy::QuotaRequest& request);
    void on_reply(const tenancy::QuotaReply& reply);

  private:
    /// One request for tokens, with its retries; shared by all calls that wait for it.
    struct Round {
        net::FiberEvent ended;
        net::FiberEvent replied;
        std::optional<tenancy::QuotaReply> reply;
        bool found_owner = false;
    };
    struct Account {
        tenancy::TokenCache cache;
        unsigned waiting = 0;
        std::shared_ptr<Round> round;  ///< The round in progress.
    };
    /// Snapshot of the fleet for choosing owners; renewed after `kViewLifetime`.
    struct FleetView {
        tenancy::OwnerCandidates candidates;
        std::vector<Endpoint> addresses;  ///< Addresses of `candidates.names`, in the same order.
        TimePoint created;
        TimePoint stable_since;  ///< Time of the last change of the candidates.
    };
    struct Owner {
        std::string name;
        Endpoint gossip;
    };

    void begin_round(const tenancy::TenantTerms& tenant, Account& account);
    /// Requests tokens from the owner, and from the next one if it doesn't reply. Blocks its fiber. Ends the
    /// round.
    void run_round(const tenancy::TenantName& tenant, std::optional<Owner> owner,
                   const std::shared_ptr<Round>& round);
    /// Marks an owner that didn't reply as suspected, and returns the next owner to ask.
    std::optional<Owner> mark_suspected(const tenancy::TenantName& tenant, const Owner& owner);
    enum class RequestOutcome {
        kGranted,   ///< The owner handled the request, whether or not it granted tokens.
        kDeclined,  ///< The daemon isn't the owner of the tenant, or not yet.
        kNoReply,
    };
    RequestOutcome request_tokens(const tenancy::TenantName& tenant, Account& account,
                                  const std::shared_ptr<Round>& round, const Owner& owner);
    /// Records that an owner replied. An owner that didn't reply to this daemon is trusted again if the next
    /// owner has received a reply from it: 180 ms without a reply may mean that one of the two was short of
    /// processor time.
    void record_owner_reply(const Owner& owner, const tenancy::QuotaReply& reply);
    static void apply_reply(Account& account, TimePoint sent, const tenancy::QuotaReply& reply);
    /// Called when a peer got no reply from the owner of the tenant: checks whether that owner is reachable.
    /// Until then, this daemon grants only a fraction of the rate.
    void check_owner(const tenancy::TenantName& tenant);
    /// Grants tokens as the owner of the tenant.
    tenancy::QuotaReply grant(const tenancy::TenantName& tenant, unsigned wanted, unsigned returned);
    /// Detects changes of the fleet even while there are no requests: the first tokens of a new owner depend
    /// on the time since the last change.
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
    /// Buckets of the tenants owned by this daemon.
    std::unordered_map<tenancy::TenantName, tenancy::QuotaBucket> buckets_;
    /// Peers that didn't reply, and the time of the failed request.
    std::map<std::string, TimePoint> suspected_;
    std::map<std::string, TimePoint> replied_;  ///< Time of each owner's latest reply.
    FleetView fleet_;
    TimePoint started_ = TimePoint::clock::now();
};

}  // namespace anisehold::sidecar
