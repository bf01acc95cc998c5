/// @file
/// Requests quota tokens from the daemons that own the tenants, and grants tokens of the shares that are
/// leased to this daemon (tenancy/quota_leases).
///
/// Owns the token caches, the buckets of the tenants owned here, and the exchange of lease updates. Relies on
/// the member list (membership/peer_directory) and on datagrams, which may be lost.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "membership/peer_directory.hpp"
#include "net/fiber_event.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/sidecar_context.hpp"
#include "tenancy/quota_bucket.hpp"
#include "tenancy/quota_leases.hpp"
#include "tenancy/tenancy_messages.hpp"
#include "tenancy/token_cache.hpp"

namespace anisehold::sidecar {

/// Decision on a request that needs a token.
struct QuotaDecision {
    enum class Verdict {
        kServe,
        kExceeded,  ///< The tenant has used up its quota.
        kUnknown,   ///< No owner replied, or none has a share of the quota yet.
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
        : context_(context),
          configuration_(configuration),
          directory_(directory),
          leases_(context.settings.name, context.boot_id, TimePoint::clock::now()) {}

    void start(Send send);
    /// Takes a token for a request of the tenant; blocks the fiber until `latest` at most.
    QuotaDecision take(const tenancy::TenantTerms& tenant, TimePoint latest);
    /// Returns the token of a request that has not run and never will.
    void return_token(const tenancy::TenantName& tenant);

    /// Handles a peer's request for tokens, and a reply to a request of this daemon.
    void on_request(const tenancy::QuotaRequest& request);
    void on_reply(const tenancy::QuotaReply& reply);
    /// Handles a member's update on leases.
    void on_lease_update(const tenancy::LeaseUpdate& update);

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

    void begin_round(const tenancy::TenantTerms& tenant, Account& account);
    /// Waits for the end of a round, if there is one, and a pause longer if it found no owner.
    static void wait_for_round(std::shared_ptr<Round> round, TimePoint latest);
    /// Grants tokens to this daemon itself. Returns false if it isn't the owner, or has no share yet.
    bool take_own_grant(const tenancy::TenantName& tenant, Account& account);
    /// Requests tokens from the owner, and ends the round. Blocks its fiber.
    void run_round(const tenancy::TenantName& tenant, const std::shared_ptr<Round>& round);
    /// Returns whether an owner handled the request, whether or not it granted tokens.
    bool request_tokens(const tenancy::TenantName& tenant, Account& account,
                        const std::shared_ptr<Round>& round);
    static void apply_reply(Account& account, TimePoint sent, const tenancy::QuotaReply& reply);
    /// Grants tokens as an owner of the tenant.
    tenancy::QuotaReply grant(const tenancy::TenantName& tenant, unsigned wanted, unsigned returned);
    /// Returns the filled bucket of a tenant with a quota; null while this daemon has no share of it.
    tenancy::QuotaBucket* bucket_of(TimePoint now, const tenancy::TenantTerms& terms);
    /// Fills all buckets even while there are no requests, since shares change meanwhile.
    void fill_buckets(TimePoint now);

    /// Exchanges updates as long as the process runs.
    void exchange_leases();
    /// Tells the leases which members there are, and finds the tenants with a quota.
    void review_fleet(TimePoint now);
    /// Sends updates to all contacts if they are due, and otherwise only changes.
    void send_updates(TimePoint now);
    /// Sends updates to the members that have not been told of a change.
    void send_changes(TimePoint now);
    void send_update(const std::string& member);
    Duration refusal_pause(TimePoint now, const tenancy::TokenCache& cache);

    SidecarContext& context_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    Send send_;
    std::unordered_map<tenancy::TenantName, Account> accounts_;
    /// Buckets of the tenants owned by this daemon.
    std::unordered_map<tenancy::TenantName, tenancy::QuotaBucket> buckets_;
    tenancy::QuotaLeases leases_;
    std::set<tenancy::TenantName> tenants_;      ///< Tenants with a quota.
    std::map<std::string, Endpoint> addresses_;  ///< Members' addresses of datagrams, by name.
    TimePoint reviewed_;                         ///< Time of the last review of the fleet.
    TimePoint next_updates_;                     ///< When updates are due to all contacts.
    TimePoint started_ = TimePoint::clock::now();
};

}  // namespace anisehold::sidecar
