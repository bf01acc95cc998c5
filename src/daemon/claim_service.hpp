/// @file
/// Claims on idempotency keys over the peer protocol: this daemon as claimant and as holder. Owns the grants
/// that this daemon made, and the answers that it keeps; relies on the holder view for who the holders are.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claims/claim_holder.hpp"
#include "claims/claim_tally.hpp"
#include "daemon/answer_store.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/holder_view_keeper.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"

namespace anisehold::daemon {

/// A claim that was made, and its result.
struct ClaimOutcome {
    claims::ClaimResult result = claims::ClaimResult::kUnavailable;
    std::string key;
    std::uint64_t claimant = 0;   ///< Random; names this claim at its holders.
    claims::ClaimReply standing;  ///< When a duplicate: the claim that holds the key.
};

/// Runs claims over the peer protocol.
class ClaimService {
  public:
    ClaimService(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                 DocumentService& documents);

    void start();
    /// Claims a key; asks again for a short while, until `deadline` at most, when no majority answers. Blocks
    /// the fiber. The result is never `kPending`.
    ClaimOutcome claim(const std::string& key, std::uint64_t fingerprint, TimePoint deadline);
    /// Sends the holders how a won claim ended; in the background, again and again until each has
    /// acknowledged it, for some ten seconds at most.
    void finish(const ClaimOutcome& won, claims::ClaimEnd end);
    /// For the planned stop: whether the holder view is without this daemon and served by the others, so that
    /// nobody needs this daemon's grants any more.
    bool handed_over();
    /// Whether the process that coordinates a standing claim is still there.
    bool coordinator_is_there(const claims::ClaimReply& standing) const;

    /// Keeps the answer to a completed request.
    void keep_answer(const std::string& key, StoredAnswer answer);
    /// The answer kept by this daemon or by the claim's coordinator.
    std::optional<StoredAnswer> find_answer(const std::string& key, const claims::ClaimReply& standing);

    claims::ClaimReply handle(const claims::ClaimRequest& request);
    void handle(const claims::ClaimUpdate& update);
    claims::ClaimSyncReply handle(const claims::ClaimSyncRequest& request);
    claims::ClaimStatusReply handle(const claims::ClaimStatusRequest& request) const;
    AnswerReply handle(const AnswerRequest& request) const;

    const claims::ClaimHolder& holder() const { return holder_; }

  private:
    struct Round;

    ClaimOutcome claim_once(const std::string& key, std::uint64_t fingerprint, TimePoint deadline);
    void ask_holder(const std::shared_ptr<Round>& round, const claims::Holder& holder);
    void send_update(const claims::Holder& holder, const claims::ClaimUpdate& update);
    void run_holder();
    void sync_with(const claims::Holder& source);
    std::vector<claims::Holder> ended_holders() const;
    void report_serving();

    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    DocumentService& documents_;
    claims::ClaimHolder holder_;
    AnswerStore answers_;
    HolderViewKeeper view_keeper_;
    bool was_serving_ = false;
    std::uint64_t reported_epoch_ = 0;
};

}  // namespace anisehold::daemon
